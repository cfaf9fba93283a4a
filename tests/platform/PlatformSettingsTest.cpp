#include "platform/PlatformSettings.h"

#include <gtest/gtest.h>

namespace hornbeamlane::platform {
namespace {

constexpr std::size_t megabyte = 1024 * 1024;

std::optional<PlatformSettings> settingsWith(const std::string &limits)
{
    DocumentFaults faults;
    return parsePlatformSettings(R"({"NodeName":"entry","Zone":"a","Ip":"127.0.0.1","InternalPorts":[1,2],)"
                                 R"("Listen":{"Frontend":"127.0.0.1:3","Ready":"127.0.0.1:4"},)"
                                 R"("Platform":{"Address":"127.0.0.1:5"},"Limits":)"
                                     + limits + "}",
                                 faults);
}

// Guards against a limit that leaves the process no memory of its own, and against figures that no host has.
TEST(PlatformSettingsTest, MemoryLimitComesFromTheMemoryOfTheHost)
{
    for (const auto &[limits, expected] :
         std::initializer_list<std::pair<const char *, std::size_t>>{{R"({"MemoryMb":112})", 32},
                                                                     {R"({"MemoryMb":512})", 232},
                                                                     {R"({"MemoryMb":1})", 16},
                                                                     {R"({"MemoryMb":-5})", 64},
                                                                     {R"({"MemoryMb":"much"})", 64},
                                                                     {"{}", 64}}) {
        const auto settings = settingsWith(limits);
        ASSERT_TRUE(settings) << limits;
        EXPECT_EQ(settings->gateway.memoryLimit, expected * megabyte) << limits;
    }
    const auto huge = settingsWith(R"({"MemoryMb":18446744073709551615})");
    ASSERT_TRUE(huge);
    EXPECT_GE(huge->gateway.memoryLimit, 232 * megabyte);
}

} // namespace
} // namespace hornbeamlane::platform
