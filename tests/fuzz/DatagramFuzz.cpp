#include "fuzz/FuzzTarget.h"
#include "hornbeamlane_gateway/crashes/CrashMessage.h"
#include "hornbeamlane_gateway/peers/ArrivalCodec.h"
#include "hornbeamlane_gateway/peers/PeerLoads.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"

namespace hornbeamlane::fuzz {

namespace {

const TimePoint time{std::chrono::seconds(1000)};

void decodeLoads(std::string_view input)
{
    const auto message = decodeLoadMessage(input, time);
    if (message) {
        // What is accepted can be passed on to another entry.
        require(decodeLoadMessage(encodeLoadMessage(*message, time), time).has_value());
    }
}

void decodeFrames(std::string_view input)
{
    auto failure = DecodeFailure::None;
    const auto message = decodeMessage(input, failure);
    require(message.has_value() == (failure == DecodeFailure::None));
    if (message) {
        require(decodeMessage(encodeMessage(*message), failure).has_value());
    }
}

} // namespace

std::vector<std::string> seedInputs()
{
    LoadMessage load;
    load.sender = "entry-1";
    return {encodeLoadMessage(load, time), encodeMessage(Heartbeat{}), encodeMessage(TrialUpdate{}),
            encodeMessage(CrashUpdate{}), encodeMessage(Dispatch{})};
}

} // namespace hornbeamlane::fuzz

int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeamlane;
    const auto input = fuzz::toText(data, size);
    fuzz::decodeLoads(input);
    fuzz::decodeFrames(input);
    decodeArrivals({data, data + size});
    return 0;
}
