#include "hornbeamlane_observability/metrics/MetricsRegistry.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hornbeamlane {

namespace {

constexpr std::string_view firstTokenName = "hornbeamlane_first_token_seconds";
constexpr std::string_view tokenIntervalName = "hornbeamlane_token_interval_seconds";
constexpr std::string_view refusalsName = "hornbeamlane_refusals_total";
constexpr std::string_view decisionsName = "hornbeamlane_decisions_total";
constexpr std::string_view otherTeams = "other";

/** Teams counted for each series of its own; enough that a busy team is not lost among those that appear once. */
constexpr std::size_t countedTeamsPerSeries = 16;

std::string toText(double value)
{
    std::array<char, 32> buffer;
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string(buffer.data(), result.ptr);
}

/** Label values come from callers and operators, so they must not be able to end a label or a line. */
std::string escaped(std::string_view value)
{
    std::string text;
    for (const char character : value) {
        if (character == '\n') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character;
    }
    return text;
}

/** `name="value",...`, which is also the key of a series. */
std::string labelText(const MetricsRegistry::Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"" + escaped(value) + '"';
    }
    return text;
}

std::string seriesText(const std::string &name, const std::string &labels)
{
    return labels.empty() ? name : name + '{' + labels + '}';
}

void renderHistogram(std::string &text, const std::string &name, const std::string &labels,
                     const LatencyHistogram &histogram, const std::vector<LatencyHistogram::Seconds> &bounds)
{
    const std::string bucketName = name + "_bucket";
    const std::string prefix = labels + (labels.empty() ? "le=\"" : ",le=\"");
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < histogram.buckets().size(); ++i) {
        cumulative += histogram.buckets()[i];
        std::string bucketLabels = prefix;
        bucketLabels += i < bounds.size() ? toText(bounds[i].count()) : std::string("+Inf");
        bucketLabels += '"';
        text += seriesText(bucketName, bucketLabels) + ' ' + std::to_string(cumulative) + '\n';
    }
    text += seriesText(name + "_sum", labels) + ' ' + toText(histogram.sum().count()) + '\n';
    text += seriesText(name + "_count", labels) + ' ' + std::to_string(cumulative) + '\n';
}

std::vector<TeamId> busiest(const std::unordered_map<TeamId, std::uint64_t> &requests, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, TeamId>> order;
    order.reserve(requests.size());
    for (const auto &[team, amount] : requests) {
        order.emplace_back(amount, team);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    std::vector<TeamId> teams;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i) {
        teams.push_back(order[i].second);
    }
    return teams;
}

} // namespace

MetricsRegistry::MetricsRegistry()
    : MetricsRegistry(Options{})
{
}

MetricsRegistry::MetricsRegistry(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(std::is_sorted(options_.bounds.begin(), options_.bounds.end()));
    if (!options_.selectTeams) {
        options_.selectTeams = [count = options_.ownTeams](const auto &requests) { return busiest(requests, count); };
    }
}

template <class Value, class Make>
Value &MetricsRegistry::series(Families<Value> &families, std::string_view name, const Labels &labels, Make make)
{
    auto family = families.find(name);
    if (family == families.end()) {
        family = families.try_emplace(std::string(name)).first;
    }
    auto key = labelText(labels);
    const auto found = family->second.find(key);
    if (found != family->second.end()) {
        return found->second;
    }
    if (family->second.size() >= options_.maxSeries) {
        Labels others = labels;
        for (auto &label : others) {
            label.second = otherTeams;
        }
        key = labelText(others);
    }
    return family->second.try_emplace(std::move(key), make()).first->second;
}

void MetricsRegistry::addToCounter(std::string_view name, const Labels &labels, std::uint64_t amount)
{
    series(counters_, name, labels, [] { return std::uint64_t{0}; }) += amount;
}

void MetricsRegistry::setGauge(std::string_view name, const Labels &labels, double value)
{
    series(gauges_, name, labels, [] { return 0.0; }) = value;
}

void MetricsRegistry::observe(std::string_view name, const Labels &labels, Duration value)
{
    series(histograms_, name, labels, [this] { return LatencyHistogram(options_.bounds); }).add(value);
}

void MetricsRegistry::onFirstToken(const TeamId &team, const ClassId &requestClass, Duration sinceRequest)
{
    countTeam(team);
    observe(firstTokenName, teamLabels(team, requestClass), sinceRequest);
}

void MetricsRegistry::onTokenInterval(const TeamId &team, const ClassId &requestClass, Duration interval)
{
    observe(tokenIntervalName, teamLabels(team, requestClass), interval);
}

void MetricsRegistry::onRefusal(const ClassId &requestClass, RefusalReason reason)
{
    addToCounter(refusalsName, {{"class", requestClass.name()}, {"reason", std::string(toString(reason))}});
}

void MetricsRegistry::onDecision(std::string_view decision, std::string_view outcome)
{
    addToCounter(decisionsName, {{"decision", std::string(decision)}, {"outcome", std::string(outcome)}});
}

void MetricsRegistry::reselectTeams()
{
    auto selected = options_.selectTeams(teamRequests_);
    selected.resize(std::min(selected.size(), options_.ownTeams));
    for (const auto &team : ownTeams_) {
        if (std::find(selected.begin(), selected.end(), team) != selected.end()) {
            continue;
        }
        const std::string suffix = ",team=\"" + escaped(team.name()) + '"';
        for (auto &[name, family] : histograms_) {
            for (auto series = family.begin(); series != family.end();) {
                if (!series->first.ends_with(suffix)) {
                    ++series;
                    continue;
                }
                const std::string shared = series->first.substr(0, series->first.size() - suffix.size()) + ",team=\""
                    + std::string(otherTeams) + '"';
                family.try_emplace(shared, options_.bounds).first->second.absorb(series->second);
                series = family.erase(series);
            }
        }
    }
    ownTeams_ = std::move(selected);
    // Halved instead of cleared, so that one quiet minute does not take a busy team's series away.
    for (auto &[team, requests] : teamRequests_) {
        requests /= 2;
    }
    std::erase_if(teamRequests_, [](const auto &item) { return item.second == 0; });
}

std::uint64_t MetricsRegistry::counter(std::string_view name, const Labels &labels) const
{
    const auto family = counters_.find(name);
    if (family == counters_.end()) {
        return 0;
    }
    const auto found = family->second.find(labelText(labels));
    return found == family->second.end() ? 0 : found->second;
}

std::optional<LatencyHistogram::Summary> MetricsRegistry::summary(std::string_view name, const Labels &labels) const
{
    const auto family = histograms_.find(name);
    if (family == histograms_.end()) {
        return std::nullopt;
    }
    const auto found = family->second.find(labelText(labels));
    return found == family->second.end() ? std::nullopt : std::optional(found->second.summary());
}

std::size_t MetricsRegistry::seriesCount() const
{
    std::size_t count = 0;
    for (const auto &[name, family] : counters_) {
        count += family.size();
    }
    for (const auto &[name, family] : gauges_) {
        count += family.size();
    }
    for (const auto &[name, family] : histograms_) {
        count += family.size();
    }
    return count;
}

std::string MetricsRegistry::renderPrometheus() const
{
    std::string text;
    for (const auto &[name, family] : counters_) {
        text += "# TYPE " + name + " counter\n";
        for (const auto &[labels, value] : family) {
            text += seriesText(name, labels) + ' ' + std::to_string(value) + '\n';
        }
    }
    for (const auto &[name, family] : gauges_) {
        text += "# TYPE " + name + " gauge\n";
        for (const auto &[labels, value] : family) {
            text += seriesText(name, labels) + ' ' + toText(value) + '\n';
        }
    }
    for (const auto &[name, family] : histograms_) {
        text += "# TYPE " + name + " histogram\n";
        for (const auto &[labels, histogram] : family) {
            renderHistogram(text, name, labels, histogram, options_.bounds);
        }
    }
    return text;
}

MetricsRegistry::Labels MetricsRegistry::teamLabels(const TeamId &team, const ClassId &requestClass) const
{
    const bool isOwn = std::find(ownTeams_.begin(), ownTeams_.end(), team) != ownTeams_.end();
    return {{"class", requestClass.name()}, {"team", isOwn ? team.name() : std::string(otherTeams)}};
}

void MetricsRegistry::countTeam(const TeamId &team)
{
    const auto found = teamRequests_.find(team);
    if (found != teamRequests_.end()) {
        ++found->second;
    } else if (teamRequests_.size() < options_.ownTeams * countedTeamsPerSeries) {
        teamRequests_.emplace(team, 1);
    }
}

} // namespace hornbeamlane
