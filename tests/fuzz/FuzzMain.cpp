#include "fuzz/FuzzTarget.h"
#include "hornbeamlane_base/hornbeamlane_base.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <string>

DEFINE_uint64(seed, 1, "Seed of the first run; run N of a seed is the first run of seed + N");
DEFINE_uint64(runs, 20000, "Mutated inputs to try");

namespace hornbeamlane::fuzz {

namespace {

constexpr std::size_t longestInput = 4096;
constexpr std::uint64_t mostMutations = 6;

/** Bytes at which parsers decide. */
constexpr std::string_view edges("\0\r\n:;,0 \t\x7f\x80\xff{}[]\"", 17);

std::size_t positionIn(const std::string &text, RandomSource &random)
{
    return text.empty() ? 0 : random.below(text.size());
}

void mutate(std::string &text, const std::vector<std::string> &seeds, RandomSource &random)
{
    const auto position = positionIn(text, random);
    const auto length = std::min<std::size_t>(text.size() - position, 1 + random.below(16));
    const auto &other = seeds[random.below(seeds.size())];
    switch (random.below(6)) {
    case 0:
        if (!text.empty()) {
            text[position] = static_cast<char>(text[position] ^ (1U << random.below(8)));
        }
        break;
    case 1:
        text.insert(position, 1, edges[random.below(edges.size())]);
        break;
    case 2:
        text.erase(position, length);
        break;
    case 3:
        text.insert(position, text.substr(position, length));
        break;
    case 4:
        text = text.substr(0, position) + other.substr(positionIn(other, random));
        break;
    default:
        text.resize(position);
        break;
    }
    text.resize(std::min(text.size(), longestInput));
}

void run(std::uint64_t seed, const std::vector<std::string> &seeds)
{
    RandomSource random(seed);
    auto text = seeds[random.below(seeds.size())];
    for (auto left = random.below(mostMutations + 1); left > 0; --left) {
        mutate(text, seeds, random);
    }
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(text.data()), text.size());
}

} // namespace

} // namespace hornbeamlane::fuzz

int main(int argc, char **argv)
{
    using namespace hornbeamlane;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto seeds = fuzz::seedInputs();
    for (std::uint64_t number = 0; number < FLAGS_runs; ++number) {
        // The last line before a crash names the runs among which it is.
        if (number % 1000 == 0) {
            std::printf("seed %s\n", std::to_string(FLAGS_seed + number).c_str());
            std::fflush(stdout);
        }
        fuzz::run(FLAGS_seed + number, seeds);
    }
    return 0;
}
