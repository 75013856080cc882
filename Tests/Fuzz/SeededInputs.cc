#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include "Fuzz/Entrances.h"

/// Feeds each entrance its seed inputs and then mutations of them, drawn from a
/// seed. Usage: seeded_inputs CORPUS SEED MUTATIONS [ENTRANCE]
namespace filbertwall {
namespace {

using Input = std::vector<std::uint8_t>;

std::vector<Input> ReadCorpus(const std::filesystem::path& folder) {
  std::vector<std::filesystem::path> paths;
  for (const auto& item : std::filesystem::directory_iterator(folder)) {
    paths.push_back(item.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<Input> inputs = {Input()};
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    inputs.emplace_back(std::istreambuf_iterator<char>(file),
                        std::istreambuf_iterator<char>());
  }
  return inputs;
}

std::size_t Draw(std::mt19937_64& random, std::size_t below) {
  return below == 0 ? 0 : random() % below;
}

/// Changes an input in one place.
void Mutate(Input& input, const std::vector<Input>& corpus,
            std::mt19937_64& random) {
  static const std::vector<std::string> kWords = {"\xFF\xFE",
                                                  "\xC3",
                                                  "\xED\xA0\x80",
                                                  "\"",
                                                  "{",
                                                  "}",
                                                  "[",
                                                  "]",
                                                  "null",
                                                  "-1",
                                                  "1e999",
                                                  "65536",
                                                  "4294967296",
                                                  "99999999999999999999",
                                                  "\\u0000",
                                                  "\\ud800"};
  const std::size_t place = Draw(random, input.size() + 1);
  const auto at = input.begin() + static_cast<std::ptrdiff_t>(place);
  switch (random() % 6) {
    case 0:
      input.resize(place);
      return;
    case 1: {
      const std::string& word = kWords[Draw(random, kWords.size())];
      input.insert(at, word.begin(), word.end());
      return;
    }
    case 2: {
      const Input& other = corpus[Draw(random, corpus.size())];
      const std::size_t from = Draw(random, other.size() + 1);
      input.insert(at, other.begin() + static_cast<std::ptrdiff_t>(from),
                   other.end());
      return;
    }
    case 3: {
      const std::size_t length =
          std::min(Draw(random, 16), input.size() - place);
      input.erase(at, at + static_cast<std::ptrdiff_t>(length));
      return;
    }
    default:
      if (place < input.size()) {
        input[place] = random() % 4 == 0
                           ? static_cast<std::uint8_t>(0xFF * (random() % 2))
                           : static_cast<std::uint8_t>(random());
      }
      return;
  }
}

/// Feeds one entrance and prints what was done.
void Run(const Entrance& entrance, const std::filesystem::path& corpus_folder,
         std::uint64_t seed, std::size_t mutations) {
  constexpr std::size_t kMaxInputBytes = 16UL * 1024UL;
  const std::vector<Input> corpus = ReadCorpus(corpus_folder / entrance.name);
  for (const Input& input : corpus) {
    entrance.feed(input);
  }
  std::mt19937_64 random(seed);
  const auto started = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < mutations; ++i) {
    Input input = corpus[Draw(random, corpus.size())];
    for (std::size_t step = Draw(random, 5) + 1; step > 0; --step) {
      Mutate(input, corpus, random);
    }
    input.resize(std::min(input.size(), kMaxInputBytes));
    entrance.feed(input);
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - started;
  std::printf("%s: %zu seed inputs, %zu mutations, %.0f a second\n",
              entrance.name.c_str(), corpus.size(), mutations,
              static_cast<double>(mutations) / spent.count());
}

}  // namespace
}  // namespace filbertwall

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: %s CORPUS SEED MUTATIONS [ENTRANCE]\n",
                 argv[0]);
    return 2;
  }
  const std::string only = argc > 4 ? argv[4] : "";
  for (const filbertwall::Entrance& entrance : filbertwall::AllEntrances()) {
    if (only.empty() || entrance.name == only) {
      filbertwall::Run(entrance, argv[1], std::strtoull(argv[2], nullptr, 10),
                       std::strtoull(argv[3], nullptr, 10));
    }
  }
  return 0;
}
