// One entry of another writer in the table of servers, with a field of another type, ends every process of the system.
#include "../stand-ins/caller.hh"
#include "../stand-ins/group.hh"

namespace {

constexpr int streamDeadlineMs = 8000;
constexpr int channelsOfEntry = 6;
constexpr double rowAt = 6;
constexpr double callersStopAt = 16;

struct Losses
{
    std::atomic<int> lost{0};
    std::atomic<int> served{0};
};

/** Requests one after the other on a kept channel. */
void keepAsking(const Entry &entry, Group &group, Losses &losses)
{
    Caller caller(entry.ip(), entry.callerPort());
    int onChannel = 0;
    while (seconds() < callersStopAt) {
        const auto id = newId();
        const auto outcome = caller.request("/chat/x", id, streamDeadlineMs, "{}");
        if (outcome.isServed) {
            ++losses.served;
            ++onChannel;
            continue;
        }
        if (outcome.isCutOff && onChannel > 0 && group.hasGot(id)) {
            record("%s closed a kept channel without an answer to %s, which a rank has got", entry.name().c_str(),
                   id.c_str());
            ++losses.lost;
        }
        caller.close();
        onChannel = 0;
        sleepFor(0.3);
    }
}

} // namespace

int main()
{
    openRecord();
    const Place place;
    Store store;
    const int storePort = freePort(place.ip(1));
    store.listen(place.ip(1), storePort);
    Group group(store, {.ip = place.ip(2)});
    store.put("op", "config", configOf("chat", group.serviceConfig(), true).dump());
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
    std::map<const Entry *, Losses> losses;
    std::vector<std::thread> callers;
    for (auto *entry : runningEntries) {
        auto &own = losses[entry];
        for (int i = 0; i < channelsOfEntry; ++i) {
            callers.emplace_back([entry, &group, &own] { keepAsking(*entry, group, own); });
        }
    }
    sleepUntil(rowAt);
    if (hasTrouble()) {
        const Json row = {{"Service", "chat"},
                          {"Address", place.ip(3) + ":9"},
                          {"Zone", "a"},
                          {"Version", "v1"},
                          {"Slots", 12},
                          {"Phase", "ready"},
                          {"WarmupLeftMs", 0},
                          {"Sequence", 1},
                          {"group", {{"Name", "g9-9"}, {"epoch", 1}, {"rank", 0}, {"Phase", "open"}}},
                          {"size", 4.0e9}};
        store.put("servers", "zz-other-writer", row.dump());
        record("store: another writer's entry: %s", row.dump().c_str());
    }
    int ends = 0;
    while (seconds() < callersStopAt) {
        for (auto *entry : runningEntries) {
            if (const auto state = entry->ended()) {
                record("platform: %s has ended by itself, %s %d", entry->name().c_str(),
                       WIFSIGNALED(*state) ? "signal" : "exit", WIFSIGNALED(*state) ? WTERMSIG(*state) : WEXITSTATUS(*state));
                ++ends;
                sleepFor(0.5);
                entry->start();
            }
        }
        sleepFor(0.02);
    }
    for (auto &caller : callers) {
        caller.join();
    }
    bool isBroken = false;
    for (const auto &[entry, own] : losses) {
        record("%s: %d served, %d lost on kept channels", entry->name().c_str(), own.served.load(), own.lost.load());
        std::printf("%s: %d served, %d lost on kept channels\n", entry->name().c_str(), own.served.load(),
                    own.lost.load());
        isBroken = isBroken || own.lost > 3;
    }
    record("processes that ended by themselves: %d", ends);
    record(isBroken ? "LOST is broken" : "LOST holds");
    std::printf("processes ended by themselves %d times: LOST %s\n", ends, isBroken ? "is broken" : "holds");
    endAll(isBroken ? 1 : 0);
}
