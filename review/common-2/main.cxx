// stage CASE RECORD: plays one case and exits with 1 if a rule was broken, 0 if
// all held, 2 if the case could not be played. TROUBLE=0 leaves the disruption
// out.
#include <cstdio>

#include "cases.h"
#include "mix.h"

int
main(int aCount, char** aArguments)
{
  using namespace review;
  if (aCount < 3) {
    std::fprintf(stderr, "usage: stage CASE RECORD\n");
    return 2;
  }
  for (const int signal : { SIGTERM, SIGINT, SIGHUP }) {
    std::signal(signal, &EndStarted);
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
  const std::string which = aArguments[1];
  std::string folder = (fs::temp_directory_path() / "review-2-XXXXXX").string();
  if (::mkdtemp(folder.data()) == nullptr) {
    return 2;
  }
  int outcome = 2;
  {
    Ledger ledger(aArguments[2], kCancelMs);
    const char* runners = std::getenv("RUNNERS");
    Stage stage(ledger, folder, runners == nullptr ? 2 : std::atoi(runners));
    const std::map<std::string, bool (*)(Stage&, bool)> cases = {
      { "steps", &PlaySteps },         { "budget", &PlayBudget },
      { "pending", &PlayPending },     { "starve", &PlayStarve },
      { "overtaken", &PlayOvertaken }, { "cancelled", &PlayCancelled },
      { "withdrawn", &PlayWithdrawn },
    };
    SetKinds(stage, which == "pending" ? 1 : which == "starve" ? 2 : 0);
    const auto found = cases.find(which);
    bool played = false;
    if (which == "mix" && aCount == 5) {
      const auto seed = static_cast<unsigned>(std::stoul(aArguments[3]));
      std::srand(seed);
      played = stage.Begin(Routes()) &&
               (std::string(aArguments[4]) == "load"
                  ? Mix(stage, seed, "").PlayLoad(90, 200)
                  : Mix(stage, seed, hasTrouble ? aArguments[4] : "").Play(70));
    } else if (which == "first") {
      stage.Begin(Routes(), hasTrouble);
      played = PlayFirst(stage);
    } else {
      played = found != cases.end() && stage.Begin(Routes()) &&
               found->second(stage, hasTrouble);
    }
    const std::lock_guard<std::mutex> lock(ledger.Mutex());
    ledger.CheckEnds();
    outcome = !ledger.Broken().empty() ? 1 : played ? 0 : 2;
    ledger.Write("outcome " + std::to_string(outcome));
  }
  if (std::getenv("KEEP") == nullptr) {
    fs::remove_all(folder);
  } else {
    std::printf("kept %s\n", folder.c_str());
  }
  std::printf("%s: %s\n",
              which.c_str(),
              outcome == 0   ? "held"
              : outcome == 1 ? "broken"
                             : "not played");
  return outcome;
}
