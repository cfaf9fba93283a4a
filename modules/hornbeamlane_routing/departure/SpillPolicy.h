#pragma once

#include "hornbeamlane_routing/view/ServerView.h"

#include <functional>
#include <optional>

namespace hornbeamlane {

/** Chooses the data centre of a request: the entry's own, or others by free capacity; sheds what none can carry. */
class SpillPolicy final
{
public:
    /** What is known of one data centre for a target. */
    struct Share
    {
        DataCentreIndex dataCentre = 0;
        double capacity = 0;
        double load = 0;
        /** Part of its capacity that may be used after its return, in [0, 1]. */
        double ramp = 1;
        /** Requests that this entry may still send before the next refill. */
        double budget = 0;
    };

    struct Options
    {
        /** Load over capacity up to which a data centre takes its own callers' requests. */
        double fillTo = 0.9;
        /** Load over capacity up to which a data centre takes requests of others; keeps room for its own callers. */
        double spillTo = 0.85;
        /** Load over capacity of all data centres at which the lowest class is shed first. */
        double shedFrom = 0.9;
        /** Load over capacity at which even the highest class is shed; above 1, because agents queue a little. */
        double shedAllAt = 1.2;
        /** Entries that send requests by the same reports. */
        std::uint32_t entryCount = 1;
        /** Time after which the free capacity seen in reports is shared out anew. */
        Duration budgetInterval = std::chrono::milliseconds(250);
        /** Usable part of a data centre by the time since its return; the default rises from 5 % to all in 60 s. */
        std::function<double(Duration sinceReturn)> ramp;
        /** Weight of a data centre in spilling; the default is its free capacity, bounded by the entry's budget. */
        std::function<double(const Share &)> weight;
        /** Probability of shedding at a load over capacity, with the class ranked from 0, shed last, to 1, shed first.
         */
        std::function<double(double pressure, double rank)> shedding;
    };

    explicit SpillPolicy(const ServerView &view);
    SpillPolicy(const ServerView &view, Options options);
    SpillPolicy(const SpillPolicy &) = delete;
    SpillPolicy &operator=(const SpillPolicy &) = delete;

    /** The data centre has come back into service; its share starts to rise. */
    void onReturned(DataCentreIndex dataCentre, TimePoint now);

    /**
        Data centre for a request, or empty if it has to be shed.
        @param rank class of the request from 0 (shed last) to 1 (shed first)
    */
    std::optional<DataCentreIndex> choose(TargetIndex target, DataCentreIndex own, double rank, TimePoint now,
                                          RandomSource &random);

    /** Usable part of a data centre, in [0, 1]. */
    double ramp(DataCentreIndex dataCentre, TimePoint now) const;

    /** The default ramp. */
    static double linearRamp(Duration sinceReturn);

private:
    struct Budget
    {
        TimePoint refilledAt;
        double left = 0;
    };

    Share shareOf(TargetIndex target, DataCentreIndex dataCentre, TimePoint now);
    double freeForSpill(const Share &share) const;
    double defaultShedding(double pressure, double rank) const;

    const ServerView &view_;
    Options options_;
    std::vector<std::optional<TimePoint>> returnedAt_;
    /** By target, then by data centre. */
    std::vector<std::vector<Budget>> budgets_;
    /** Kept between calls so that a choice allocates nothing. */
    std::vector<Share> shares_;
    std::vector<double> weights_;
};

} // namespace hornbeamlane
