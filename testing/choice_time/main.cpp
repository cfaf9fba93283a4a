#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <chrono>
#include <iostream>
#include <string>

/** Prints the mean time in microseconds of one choice among the servers of one service, beside as many of another. */
int main()
{
    using namespace hornbeamlane;
    constexpr int choices = 2000;
    const TimePoint now{std::chrono::hours(1)};
    for (const int servers : {19, 75, 203, 1900}) {
        RandomSource random(7);
        BackendBook book({.unseenRequests = [](const ServiceId &) { return 5.0; }});
        for (int i = 0; i < servers; ++i) {
            for (const auto *service : {"pool", "other"}) {
                const ServerId id(service + std::to_string(i));
                book.update({.id = id, .service = ServiceId(service), .dataCentre = DataCentreId("dc"), .slots = 10},
                            now);
                book.setPeersInFlight(id, static_cast<std::uint32_t>(random.below(10)));
            }
        }
        for (const bool isStream : {false, true}) {
            const BackendBook::Request request{
                .service = ServiceId("pool"), .dataCentre = DataCentreId("dc"), .isStream = isStream};
            const auto begin = Clock::now();
            for (int i = 0; i < choices; ++i) {
                book.choose(request, now, random);
            }
            const std::chrono::duration<double, std::micro> taken(Clock::now() - begin);
            std::cout << "servers=" << servers << " stream=" << (isStream ? "yes" : "no")
                      << " us=" << taken.count() / choices << "\n";
        }
    }
    return 0;
}
