#pragma once

#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace hornbeamlane {

/**
    Requests to the groups of one service. Each request has a topic, which decides how often it chooses each expert; the
    mixture of topics drifts. Ranks count what their own requests choose.
*/
class DriftingDemand final
{
public:
    struct Options
    {
        std::size_t groups = 3;
        RankIndex ranks = 24;
        std::uint32_t layers = 16;
        ExpertIndex experts = 96;
        int requestsPerRank = 8;
        /** Tokens of one request in one tick of half a second, and in one pass. */
        int tokensPerTick = 25;
        int tokensPerPass = 5;
        /** Ticks after which a request has ended, on average. */
        double ticksPerRequest = 4.0;
        int topics = 10;
        /** Spread of the logarithms of an expert's weights and of the topics' weights. */
        double expertSpread = 1.6;
        double topicSpread = 1.2;
        /** Ticks after which the topics' weights are forgotten, on average. */
        double driftTicks = 20.0;
        std::uint64_t seed = 1;
    };

    explicit DriftingDemand(Options options)
        : options_(options)
        , random_(options.seed)
        , looks_(options.seed + 1000)
        , logs_(static_cast<std::size_t>(options.topics))
        , choices_(static_cast<std::size_t>(options.topics))
        , topics_(options.groups * options.ranks * static_cast<std::size_t>(options.requestsPerRank), -1)
        , counts(options.groups * options.ranks, std::vector<double>(options.layers * std::size_t(options.experts)))
    {
        std::generate(logs_.begin(), logs_.end(), [this] { return options_.topicSpread * gaussian(); });
        for (auto &layers : choices_) {
            layers.resize(options_.layers);
            for (auto &layer : layers) {
                layer.resize(options_.experts);
                std::generate(layer.begin(), layer.end(),
                              [this] { return std::exp(options_.expertSpread * gaussian()); });
                std::partial_sum(layer.begin(), layer.end(), layer.begin());
                for (auto &sum : layer) {
                    sum /= layer.back();
                }
            }
        }
    }

    /** Advances by half a second. */
    void tick()
    {
        const double kept = 1.0 - 1.0 / options_.driftTicks;
        for (auto &log : logs_) {
            log = log * kept + options_.topicSpread * std::sqrt(1.0 - kept * kept) * gaussian();
        }
        for (std::size_t request = 0; request < topics_.size(); ++request) {
            if (topics_[request] < 0 || random_.unit() < 1.0 / options_.ticksPerRequest) {
                topics_[request] = newTopic();
            }
            auto &rank = counts[request / static_cast<std::size_t>(options_.requestsPerRank)];
            choose(topics_[request], options_.tokensPerTick, rank, random_);
        }
    }

    /** Shares that requests which start now have on average. */
    ExpertShares mixture() const
    {
        ExpertShares shares(options_.layers, std::vector<double>(options_.experts));
        const auto weights = topicWeights();
        for (std::size_t topic = 0; topic < choices_.size(); ++topic) {
            for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
                double below = 0.0;
                for (ExpertIndex expert = 0; expert < options_.experts; ++expert) {
                    const double sum = choices_[topic][layer][expert];
                    shares[layer][expert] += weights[topic] * (sum - below);
                    below = sum;
                }
            }
        }
        return shares;
    }

    /** Shares of what a group chooses in the given number of tokens of each of its requests, such as one pass. */
    ExpertShares chosenBy(std::size_t group, int tokens)
    {
        std::vector<double> chosen(options_.layers * std::size_t(options_.experts));
        const auto requests = options_.ranks * static_cast<std::size_t>(options_.requestsPerRank);
        for (std::size_t request = group * requests; request < (group + 1) * requests; ++request) {
            choose(topics_[request], tokens, chosen, looks_);
        }
        return sharesOf(chosen);
    }

    ExpertShares sharesOf(const std::vector<double> &chosen) const
    {
        ExpertShares shares;
        for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
            const auto from = chosen.begin() + static_cast<std::ptrdiff_t>(layer * std::size_t(options_.experts));
            shares.emplace_back(from, from + options_.experts);
            const double sum = std::accumulate(shares.back().begin(), shares.back().end(), 0.0);
            for (auto &share : shares.back()) {
                share /= sum;
            }
        }
        return shares;
    }

private:
    double gaussian()
    {
        double sum = -6.0;
        for (int i = 0; i < 12; ++i) {
            sum += random_.unit();
        }
        return sum;
    }

    std::vector<double> topicWeights() const
    {
        std::vector<double> weights(logs_.size());
        std::transform(logs_.begin(), logs_.end(), weights.begin(), [](double log) { return std::exp(log); });
        const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (auto &weight : weights) {
            weight /= sum;
        }
        return weights;
    }

    int newTopic()
    {
        const auto weights = topicWeights();
        double left = random_.unit();
        int topic = 0;
        while (topic + 1 < options_.topics && (left -= weights[static_cast<std::size_t>(topic)]) > 0.0) {
            ++topic;
        }
        return topic;
    }

    void choose(int topic, int tokens, std::vector<double> &into, RandomSource &random)
    {
        for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
            const auto &sums = choices_[static_cast<std::size_t>(topic)][layer];
            for (int token = 0; token < tokens; ++token) {
                const auto place = std::lower_bound(sums.begin(), sums.end(), random.unit()) - sums.begin();
                const auto expert = std::min<std::size_t>(static_cast<std::size_t>(place), options_.experts - 1U);
                into[layer * std::size_t(options_.experts) + expert] += 1.0;
            }
        }
    }

    Options options_;
    RandomSource random_;
    /** Apart, so that looks at the demand do not change its course. */
    RandomSource looks_;
    std::vector<double> logs_;
    /** Cumulative shares, by topic and layer. */
    std::vector<std::vector<std::vector<double>>> choices_;
    std::vector<int> topics_;

public:
    /** What each rank's requests have chosen since its start, layer by layer; group by group. */
    std::vector<std::vector<double>> counts;
};

} // namespace hornbeamlane
