#include "hornbeamlane_observability/metrics/MetricsRegistry.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

// Guards against quantile estimates that are off by more than a tenth, which would hide a missed latency target.
TEST(LatencyHistogram, EstimatesQuantiles)
{
    const std::vector<LatencyHistogram::Seconds> bounds = {LatencyHistogram::Seconds(0.5)};
    LatencyHistogram histogram(bounds);
    RandomSource random(4);
    for (int i = 0; i < 20000; ++i) {
        histogram.add(LatencyHistogram::Seconds(random.unit()));
    }
    const auto summary = histogram.summary();
    EXPECT_EQ(summary.count, 20000U);
    EXPECT_NEAR(summary.mean.count(), 0.5, 0.01);
    EXPECT_NEAR(summary.p50.count(), 0.5, 0.05);
    EXPECT_NEAR(summary.p95.count(), 0.95, 0.05);
    EXPECT_NEAR(summary.p99.count(), 0.99, 0.05);
    EXPECT_LE(summary.p99, summary.max);
    EXPECT_NEAR(static_cast<double>(histogram.buckets()[0]), 10000, 400);
}

// Guards against a quantile of too few samples, for which the estimator has no markers.
TEST(LatencyHistogram, SummarisesFewSamples)
{
    for (int samples = 0; samples < 12; ++samples) {
        LatencyHistogram histogram({});
        for (int i = 0; i < samples; ++i) {
            histogram.add(LatencyHistogram::Seconds(1));
        }
        EXPECT_EQ(histogram.summary().p99.count(), samples == 0 ? 0 : 1) << samples;
    }
}

// Guards against series without bound, one for each of thousands of teams, and against requests lost on reselection.
TEST(MetricsRegistry, KeepsTeamSeriesBounded)
{
    MetricsRegistry metrics({.ownTeams = 5});
    for (int round = 0; round < 3; ++round) {
        for (int team = 0; team < 1000; ++team) {
            for (int i = 0; i < (team / 10 == round ? 20 : 1); ++i) {
                metrics.onFirstToken(TeamId("team" + std::to_string(team)), ClassId("gold"), milliseconds(300));
            }
        }
        metrics.reselectTeams();
        EXPECT_LE(metrics.seriesCount(), 6U);
    }
    std::uint64_t requests = 0;
    const auto text = metrics.renderPrometheus();
    const std::string prefix = "hornbeamlane_first_token_seconds_count{";
    for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at + 1)) {
        requests += std::stoull(text.substr(text.find("} ", at) + 2));
    }
    EXPECT_EQ(requests, 3 * (1000U + 10 * 19));
}

// Guards against label values of callers that end a line or a label, and against unbounded values of one label.
TEST(MetricsRegistry, RendersHostileLabels)
{
    MetricsRegistry metrics({.maxSeries = 3});
    metrics.addToCounter("requests_total", {{"path", "a\"b\\c\nd"}}, 2);
    metrics.setGauge("load", {}, 0.5);
    for (int i = 0; i < 10; ++i) {
        metrics.addToCounter("requests_total", {{"path", std::to_string(i)}});
    }
    const auto text = metrics.renderPrometheus();
    EXPECT_NE(text.find("requests_total{path=\"a\\\"b\\\\c\\nd\"} 2\n"), std::string::npos) << text;
    EXPECT_NE(text.find("\nload 0.5\n"), std::string::npos) << text;
    EXPECT_EQ(metrics.counter("requests_total", {{"path", "other"}}), 8U);
}

// Guards against buckets that are not cumulative, which Prometheus would read as wrong quantiles.
TEST(MetricsRegistry, RendersCumulativeBuckets)
{
    MetricsRegistry metrics({.bounds = {MetricsRegistry::Seconds(0.1), MetricsRegistry::Seconds(1)}});
    for (const int value : {50, 500, 5000}) {
        metrics.observe("latency", {}, milliseconds(value));
    }
    const auto text = metrics.renderPrometheus();
    EXPECT_NE(text.find("latency_bucket{le=\"0.1\"} 1\nlatency_bucket{le=\"1\"} 2\nlatency_bucket{le=\"+Inf\"} 3\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("latency_sum 5.55\nlatency_count 3\n"), std::string::npos) << text;
}

// Guards against refusals and decisions that leave no trace in the metrics.
TEST(MetricsRegistry, CountsRefusalsAndDecisions)
{
    MetricsRegistry metrics;
    metrics.onRefusal(ClassId("gold"), RefusalReason::Quarantined);
    metrics.onDecision("server_choice", "cache_holder");
    EXPECT_EQ(metrics.counter("hornbeamlane_refusals_total", {{"class", "gold"}, {"reason", "quarantined"}}), 1U);
    EXPECT_EQ(
        metrics.counter("hornbeamlane_decisions_total", {{"decision", "server_choice"}, {"outcome", "cache_holder"}}),
        1U);
}

} // namespace
} // namespace hornbeamlane
