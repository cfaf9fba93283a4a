#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_observability/metrics/LatencyHistogram.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hornbeamlane {

/** Counters, gauges and latency histograms with a bounded number of series. */
class MetricsRegistry final
{
public:
    /** Names and values; the same labels in another order are another series. */
    using Labels = std::vector<std::pair<std::string, std::string>>;
    using Seconds = LatencyHistogram::Seconds;

    struct Options
    {
        /** Teams with series of their own; all others share one for each class. */
        std::size_t ownTeams = 20;
        /** Series of one metric; further label values are counted under the label value "other". */
        std::size_t maxSeries = 1000;
        std::vector<Seconds> bounds = {Seconds(0.005), Seconds(0.01), Seconds(0.02), Seconds(0.04), Seconds(0.08),
                                       Seconds(0.15),  Seconds(0.3),  Seconds(0.5),  Seconds(0.86), Seconds(1.5),
                                       Seconds(3),     Seconds(10),   Seconds(60)};
        /** Teams that get their own series, by requests since the last selection; the default takes the busiest. */
        std::function<std::vector<TeamId>(const std::unordered_map<TeamId, std::uint64_t> &)> selectTeams;
    };

    MetricsRegistry();
    explicit MetricsRegistry(Options options);

    void addToCounter(std::string_view name, const Labels &labels = {}, std::uint64_t amount = 1);
    void setGauge(std::string_view name, const Labels &labels, double value);
    void observe(std::string_view name, const Labels &labels, Duration value);

    void onFirstToken(const TeamId &team, const ClassId &requestClass, Duration sinceRequest);
    void onTokenInterval(const TeamId &team, const ClassId &requestClass, Duration interval);
    void onRefusal(const ClassId &requestClass, RefusalReason reason);
    /** Counts the outcome of a decision, for instance "server_choice" and "cache_holder". */
    void onDecision(std::string_view decision, std::string_view outcome);

    /** Selects anew the teams with own series; call about once a minute. Teams that lose theirs join their class. */
    void reselectTeams();

    std::uint64_t counter(std::string_view name, const Labels &labels = {}) const;
    std::optional<LatencyHistogram::Summary> summary(std::string_view name, const Labels &labels) const;
    std::size_t seriesCount() const;

    /** All series in the Prometheus text form, sorted by name and labels. */
    std::string renderPrometheus() const;

private:
    template <class Value>
    using Family = std::map<std::string, Value, std::less<>>;
    template <class Value>
    using Families = std::map<std::string, Family<Value>, std::less<>>;

    template <class Value, class Make>
    Value &series(Families<Value> &families, std::string_view name, const Labels &labels, Make make);
    Labels teamLabels(const TeamId &team, const ClassId &requestClass) const;
    void countTeam(const TeamId &team);

    Options options_;
    Families<std::uint64_t> counters_;
    Families<double> gauges_;
    Families<LatencyHistogram> histograms_;
    std::unordered_map<TeamId, std::uint64_t> teamRequests_;
    std::vector<TeamId> ownTeams_;
};

} // namespace hornbeamlane
