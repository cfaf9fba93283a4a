// A hold that is carried out late, after all processes have been killed and started again, stops a group for good.
//   TROUBLE=0     neither disruption      TROUBLE=late  only the late order      TROUBLE=kill  only the final fault
//   TROUBLE=stop  the late order, and a planned stop of one process after the other in place of the final fault
#include "../stand-ins/caller.hh"
#include "../stand-ins/group.hh"

namespace {

constexpr int streamDeadlineMs = 8000;
/** An order that gets no answer is carried out 2 to 12 s later. */
constexpr double lateBy = 9;
constexpr double recoverS = 12;

/** Streams that come together; how many of them are served. */
int sendStreams(const std::vector<Entry *> &entries, int count)
{
    std::atomic<int> served{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < count; ++i) {
        threads.emplace_back([&, i] {
            const auto *entry = entries[static_cast<std::size_t>(i) % entries.size()];
            Caller caller(entry->ip(), entry->callerPort());
            const auto id = newId();
            served += caller.request("/chat/x", id, streamDeadlineMs, "{}").isServed ? 1 : 0;
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return served;
}

} // namespace

int main()
{
    openRecord();
    const char *const text = std::getenv("TROUBLE");
    const std::string trouble = text == nullptr ? "both" : text;
    const bool isLate = trouble != "0" && trouble != "kill";
    const bool isStop = trouble == "stop";
    const bool isKill = trouble != "0" && trouble != "late" && !isStop;
    const Place place;
    Store store;
    const int storePort = freePort(place.ip(1));
    store.listen(place.ip(1), storePort);
    Group group(store, {.ip = place.ip(2)});
    store.put("op", "config", configOf("chat", group.serviceConfig(), true).dump());
    if (isLate) {
        group.setLateOrders([](const Group::Order &order) {
            return order.operation == "Retention" && order.number == 1 ? lateBy : 0;
        });
    }
    Entry first("edge-a-1", place.ip(11), place.folder);
    Entry second("edge-a-2", place.ip(12), place.folder);
    runningEntries = {&first, &second};
    for (auto *entry : runningEntries) {
        entry->writeSettings(place.ip(1) + ":" + std::to_string(storePort), usualBounds());
        entry->start();
    }
    for (auto *entry : runningEntries) {
        entry->awaitReady();
    }
    sleepFor(3);

    const int servedBefore = sendStreams(runningEntries, 12);
    record("before the final fault: %d of 12 streams served", servedBefore);
    // The holder of the maps adapts them to what was in demand; the group has no work meanwhile.
    const double waitedFrom = seconds();
    while (group.releasedAt() == 0) {
        if (seconds() - waitedFrom > 15) {
            cannotRun("no change of map within 15 s");
        }
        sleepFor(0.05);
    }
    record("a change of map is confirmed");
    sleepFor(1);
    if (isKill) {
        for (auto *entry : runningEntries) {
            entry->signal(SIGKILL);
        }
        record("platform: SIGKILL to all processes");
        for (auto *entry : runningEntries) {
            entry->end(SIGKILL);
        }
        sleepFor(1);
        for (auto *entry : runningEntries) {
            entry->start();
        }
    }
    for (auto *entry : runningEntries) {
        if (isStop) {
            entry->signal(SIGTERM);
            record("platform: SIGTERM to %s", entry->name().c_str());
            for (int tries = 0; tries < 400 && !entry->ended(); ++tries) {
                sleepFor(0.02);
            }
            entry->start();
            entry->awaitReady();
        }
    }
    for (auto *entry : runningEntries) {
        entry->awaitReady();
    }
    const double backAt = seconds();
    record("all machines are back");
    sleepUntil(backAt + recoverS + 1);
    int served = 0;
    int sent = 0;
    for (int round = 0; round < 3; ++round) {
        served += sendStreams(runningEntries, 12);
        sent += 12;
        record("after the recovery: %d of %d streams served, group %s, last pass %llu", served, sent,
               group.isHeld() ? "held" : "not held", static_cast<unsigned long long>(group.step()));
        sleepFor(1);
    }
    const auto [orders, unanswered] = group.orderTotals();
    record("%d of %d orders were left unanswered; passes with different maps: %d", unanswered, orders,
           group.mapsBroken());
    const bool isBroken = servedBefore * 4 >= 12 && served * 4 < sent;
    record(isBroken ? "RECOVER is broken" : "RECOVER holds");
    std::printf("before %d of 12, after %d of %d: RECOVER %s\n", servedBefore, served, sent,
                isBroken ? "is broken" : "holds");
    endAll(isBroken ? 1 : 0);
}
