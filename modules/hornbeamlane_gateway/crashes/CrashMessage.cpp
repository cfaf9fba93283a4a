#include "hornbeamlane_gateway/crashes/CrashMessage.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

CrashUpdate updateOf(const std::vector<ServerCrash> &crashes, TimePoint now)
{
    CrashUpdate update;
    for (const auto &crash : crashes) {
        update.crashes.push_back(toRecord(crash, now));
    }
    return update;
}

milliseconds sinceEpoch(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch());
}

} // namespace

std::string encodeCrashes(const std::vector<ServerCrash> &crashes, TimePoint now)
{
    return encodeMessage(updateOf(crashes, now));
}

std::string encodeCrashRow(const std::vector<ServerCrash> &crashes, TimePoint now,
                           std::chrono::system_clock::time_point timeOfDay)
{
    auto update = updateOf(crashes, now);
    update.writtenAt = sinceEpoch(timeOfDay);
    return encodeMessage(update);
}

std::optional<std::vector<ServerCrash>> decodeCrashRow(std::string_view bytes, TimePoint now,
                                                       std::chrono::system_clock::time_point timeOfDay)
{
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(bytes, failure);
    const auto *update = message ? std::get_if<CrashUpdate>(&*message) : nullptr;
    if (update == nullptr || update->writtenAt <= milliseconds(0)) {
        return std::nullopt;
    }
    // Times of day differ between hosts and may jump; a row from the future counts as new.
    const auto age =
        std::clamp<milliseconds>(sinceEpoch(timeOfDay) - update->writtenAt, milliseconds(0), std::chrono::hours(24));
    return crashesOf(*update, now - age);
}

std::vector<ServerCrash> crashesOf(const CrashUpdate &update, TimePoint now)
{
    std::vector<ServerCrash> crashes;
    for (const auto &record : update.crashes) {
        crashes.push_back(fromRecord(record, now));
    }
    return crashes;
}

} // namespace hornbeamlane
