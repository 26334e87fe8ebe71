/// \file mutation_main.cpp Plays a corpus and seeded mutations of it.
///
/// Stands in for libFuzzer where its runtime is missing.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <random>
#include <sstream>
#include <string>
#include <vector>

// Defined in decoder_fuzz.cpp; libFuzzer gives the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size);

namespace {

void play(const std::string &Text) {
  LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t *>(Text.data()),
                         Text.size());
}

/// Changes, removes, repeats or splices some bytes.
std::string mutate(std::string Text, const std::vector<std::string> &Corpus,
                   std::mt19937_64 &Random) {
  static const char *const Tokens[] = {"1e999",
                                       "-1",
                                       "18446744073709551615",
                                       "\\ud800",
                                       "[[[[[[[[",
                                       "]]]]]]]]",
                                       "{\"",
                                       "null",
                                       "\"\"",
                                       "\r\n",
                                       ":99999",
                                       "\xff",
                                       "0\r\n\r\n",
                                       "Content-Length: 3\r\n",
                                       "Transfer-Encoding: chunked\r\n"};
  for (uint64_t Steps = 1 + Random() % 6; Steps > 0; --Steps) {
    size_t At = Text.empty() ? 0 : Random() % Text.size();
    size_t Length = std::min<size_t>(1 + Random() % 16, Text.size() - At);
    switch (Random() % 5) {
    case 0:
      if (!Text.empty())
        Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, Length);
      break;
    case 2:
      Text.insert(At, Text.substr(At, Length));
      break;
    case 3:
      Text.insert(At, Tokens[Random() % std::size(Tokens)]);
      break;
    default: {
      const std::string &Other = Corpus[Random() % Corpus.size()];
      Text.insert(At, Other.substr(Other.empty() ? 0 : Random() % Other.size(),
                                   1 + Random() % 64));
    }
    }
  }
  return Text;
}

} // namespace

int main(int Argc, char **Argv) {
  uint64_t Seed = 20261205;
  int Seconds = 3;
  std::vector<std::string> Corpus;
  for (int I = 1; I < Argc; ++I) {
    std::string Word = Argv[I];
    if (Word == "--seed" && I + 1 < Argc) {
      Seed = std::stoull(Argv[++I]);
      continue;
    }
    if (Word == "--seconds" && I + 1 < Argc) {
      Seconds = std::stoi(Argv[++I]);
      continue;
    }
    std::ifstream File(Word);
    if (!File) {
      std::fprintf(stderr, "decoder_fuzz: can't read %s\n", Word.c_str());
      return 2;
    }
    std::stringstream Text;
    Text << File.rdbuf();
    Corpus.push_back(Text.str());
  }
  if (Corpus.empty()) {
    std::fprintf(stderr, "decoder_fuzz: no corpus files\n");
    return 2;
  }
  for (const std::string &Text : Corpus)
    play(Text);
  std::mt19937_64 Random(Seed);
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(Seconds);
  uint64_t Count = 0;
  for (; std::chrono::steady_clock::now() < End; ++Count)
    play(mutate(Corpus[Random() % Corpus.size()], Corpus, Random));
  std::printf("seed %llu: %llu mutations of %zu texts\n",
              static_cast<unsigned long long>(Seed),
              static_cast<unsigned long long>(Count), Corpus.size());
  return 0;
}
