#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"
#include "hornbeamlane_dispatch/servers/BackendIndex.h"
#include "hornbeamlane_dispatch/servers/BackendSelector.h"
#include "hornbeamlane_dispatch/servers/GroupWatch.h"
#include "hornbeamlane_dispatch/servers/ServerLimits.h"
#include "hornbeamlane_dispatch/servers/ServerNotices.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Servers, their load and their health. */
class BackendBook final
{
public:
    struct Options
    {
        /** Requests beyond its slots that a server may hold, as a share of its slots. */
        double queueShare = 0.25;
        /** Time for which a server gets no work after its first failure in a row to connect; doubles up to the bound.
         */
        std::chrono::milliseconds avoidAfterFailure{200};
        std::chrono::milliseconds maxAvoid{2000};
        /** Time for which a server gets no work after another one has answered at its address; its entry goes sooner,
            unless it cannot be read. */
        std::chrono::milliseconds replacedTime{10000};
        /** Half-life of the average of failures. */
        std::chrono::milliseconds failureHalfLife{3000};
        /** Load over slots that a server is charged if all its requests fail. */
        double failurePenalty = 3.0;
        /** Load over slots that a server in another data centre costs. */
        double distancePenalty = 0.02;
        /** Streams stay in the own data centre while its pace unit is filled up to here; above it, up to the second
            figure, they go over to others the more the fuller it is. */
        double homeFill = 0.5;
        double spillFill = 0.9;
        /** Load over its bound that a unit without servers in the own data centre costs; more than the difference at
            which servers count as equal. */
        double farUnitPenalty = 0.1;
        /** Load over slots that a unit costs whose streams are late with however few requests. */
        double outOfReachPenalty = 1.0;
        /** Servers of a service compared in one choice at most, drawn at random where there are more. */
        std::size_t mostCompared = 256;
        GroupWatch::Options groups;
        /** Time for which an entry may use its turn at a cold server; turns kept for longer could all be used at once.
         */
        std::chrono::milliseconds coldTurnTime{150};
        /** Entries that share the bounds of a cold server; see setEntryCount(). */
        std::uint32_t entryCount = 16;
        /** Requests that all entries are likely to send to a service before they have heard of each other's. */
        std::function<double(const ServiceId &)> unseenRequests = [](const auto &) { return 0.0; };
        /** Whether a server has named a limit on requests a second that leaves nothing for this entry now. */
        std::function<bool(const Backend &)> isRateLimited = [](const Backend &) { return false; };
        /** Requests of a pace unit over its bound. */
        std::function<double(const PaceUnitId &, const PaceUnitLoad &)> paceFill = [](const auto &, const auto &) {
            return 0.0;
        };
        /** Whether streams of a unit are late with however few requests. */
        std::function<bool(const PaceUnitId &)> isPaceOutOfReach = [](const PaceUnitId &) { return false; };
        /** What has been learned of a server of a plain service; null: it takes what it states, as fast as others. */
        std::function<const ServerFinding *(const Backend &)> findingOf = [](const Backend &) { return nullptr; };
    };

    using Request = BackendSelector::Request;
    using NoChoice = BackendSelector::NoChoice;

    BackendBook();
    explicit BackendBook(Options options);
    ~BackendBook() = default;

    /** The index points to the servers, which stay where they are when the book is moved. */
    BackendBook(BackendBook &&) = default;
    BackendBook &operator=(BackendBook &&) = default;
    BackendBook(const BackendBook &) = delete;
    BackendBook &operator=(const BackendBook &) = delete;

    /** Adds a server or takes over what it says now. */
    void update(const BackendSpec &spec, TimePoint now);

    /** The server's entry has gone; one that may only have lapsed is used until the given time. */
    void remove(const ServerId &server, std::optional<TimePoint> usableUntil);

    /** All servers that the store lists; the others count as removed. */
    void retainOnly(const std::set<ServerId> &listed, std::optional<TimePoint> usableUntil);

    void setWarmup(const ServiceId &service, std::chrono::milliseconds warmup, double requestsPerSecond);
    void setEvacuated(std::set<DataCentreId> dataCentres);

    /** Servers of the data centre may have become cold by now without their entries telling it. Until endAssumedCold()
       each counts as cold, at most for the time that servers of its service stay so. */
    void assumeCold(const DataCentreId &dataCentre, TimePoint now);

    /** The entries of the data centre's servers tell whether they are cold. */
    void endAssumedCold(const DataCentreId &dataCentre);

    void setEntryCount(std::uint32_t count);

    /** Picks a server with little load among those that may take the request; empty: see lastFailure(). */
    std::optional<ServerId> choose(const Request &request, TimePoint now, RandomSource &random);

    NoChoice lastFailure() const
    {
        return selector_.lastFailure();
    }

    /** Why and on what the last choice was made, for the log. */
    const Backend *find(const ServerId &server) const;

    void onSent(const ServerId &server, TimePoint now);
    void onEnded(const ServerId &server, BackendOutcome outcome, TimePoint now);

    /** The start of the server has said in an answer that it leaves; true if that is news. */
    bool onLeaving(const ServerId &server, std::uint64_t incarnation, TimePoint now);

    /** The start of the server has asked for nothing until then; true if that is later than before. */
    bool onPause(const ServerId &server, std::uint64_t incarnation, TimePoint until, TimePoint now);

    /** Time until the first usable server of the service takes requests again; zero if one does now or there is none.
     */
    Duration pauseLeft(const ServiceId &service, TimePoint now) const;

    /** Whether the server has announced its end, by its entry or in an answer. */
    bool isLeaving(const ServerId &server) const;

    /** The server says that it is cold for this time. */
    void onWarmup(const ServerId &server, std::chrono::milliseconds left, TimePoint now);

    /** A rank rejected a request that was sent in this epoch because another rank of its group is lost. */
    void onRankLost(const ServerId &reporter, std::uint64_t epoch, TimePoint now);

    /** A rank with free places rejected a request that was sent in this epoch, or could not be reached. One that stalls
        with its whole group says the same as a full one. */
    void onRankTurnedAway(const ServerId &rank, std::uint64_t epoch, TimePoint now);

    /** An event of a stream came from the server, so its group runs. Returns true if its entries still say that it has
        lost a rank. */
    bool onProgress(const ServerId &server);

    /** Epoch of the server's group, as the newest entry of its ranks tells it; 0 without a group. */
    std::uint64_t groupEpochOf(const ServerId &server) const;

    /** Groups that their entries have called broken since then or longer, and that have not answered. */
    std::vector<GroupId> groupsBrokenSince(TimePoint time) const;

    /** Ranks of the group that may be asked. */
    std::vector<const Backend *> ranksOf(const GroupId &group, TimePoint now) const;

    /** A rank says that its group runs in this epoch. Returns true if its entries still say that it has lost a rank. */
    bool onGroupOpen(const ServerId &rank, std::uint64_t epoch, TimePoint now);

    /** Whether the server is a rank of a group that is known to serve nothing now. */
    bool isInClosedGroup(const ServerId &server, TimePoint now) const;

    void setPeersInFlight(const ServerId &server, std::uint32_t inFlight);

    /** Forgets lapsed servers and those without work that have gone; returns the ids of those forgotten. */
    std::vector<ServerId> sweep(TimePoint now);

    /** Places of a service's usable servers and how many of them are taken. */
    struct Occupancy
    {
        std::uint32_t places = 0;
        std::uint32_t inFlight = 0;
    };

    Occupancy occupancy(const ServiceId &service, TimePoint now) const;

    /** Loads of the pace units of a service, by what is usable of them. */
    std::map<PaceUnitId, PaceUnitLoad> paceUnits(const ServiceId &service, TimePoint now) const;

    /** Servers of a service that may get requests now, full ones included. */
    std::vector<const Backend *> usable(const ServiceId &service, TimePoint now) const;

    const std::map<ServerId, Backend> &all() const
    {
        return backends_;
    }

private:
    friend class BackendSelector;

    struct Warmup
    {
        std::chrono::milliseconds time{0};
        double requestsPerSecond = 0;
    };

    bool isUsable(const Backend &backend, TimePoint now) const;
    bool isLeaving(const Backend &backend) const;
    TimePoint pausedUntil(const Backend &backend) const;
    /** Place of a rank in its group, with the group's state. */
    GroupPlace placeOf(const Backend &rank) const;
    bool isGroupOpen(const Backend &backend, TimePoint now) const;
    /** Takes the states of groups from the entries of their ranks. */
    void refreshGroups(TimePoint now);
    /** Time between two requests of this entry to a cold server; zero if its rate is not limited. */
    Duration coldPeriod(const Backend &backend) const;
    /** Whether the server is cold, or may be. */
    bool isCold(const Backend &backend, TimePoint now) const;
    bool isColdFull(Backend &backend, TimePoint now, RandomSource &random) const;
    double failureShare(const Backend &backend, TimePoint now) const;
    /** Load of a pace unit by what is usable of it. */
    PaceUnitLoad loadOf(const PaceUnitId &unit, TimePoint now) const;
    void countFailure(Backend &backend, bool isUnreachable, TimePoint now);

    Options options_;
    std::map<ServerId, Backend> backends_;
    std::map<ServiceId, Warmup> warmups_;
    ServerNotices notices_;
    GroupStates groupStates_;
    GroupWatch groups_;
    std::set<DataCentreId> evacuated_;
    /** Data centres whose servers may be cold without telling, and since when. */
    std::map<DataCentreId, TimePoint> assumedColdSince_;
    BackendIndex index_;
    BackendSelector selector_;
};

} // namespace hornbeamlane
