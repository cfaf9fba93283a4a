#include "fuzz/FuzzTarget.h"
#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

namespace hornbeamlane::fuzz {

std::vector<std::string> seedInputs()
{
    return {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "data: a\r\n\r\ndata: b\r\n\r\n", "data: a\r\rid:\rdata\r\r",
            ": comment\n\nevent: end\n\nretry: 5\n\n"};
}

} // namespace hornbeamlane::fuzz

// No byte of a stream may be lost, doubled or changed: what was passed on and what waits are its bytes in order.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeamlane;
    const auto input = fuzz::toText(data, size);
    EventStreamFilter filter;
    std::string passed;
    for (std::size_t at = 0; at < input.size(); at += 1 + size % 5) {
        passed += filter.push(input.substr(at, 1 + size % 5));
        fuzz::require(filter.partialEvent().size() + passed.size() == std::min(input.size(), at + 1 + size % 5));
    }
    fuzz::require(passed + std::string(filter.partialEvent()) == input);
    return 0;
}
