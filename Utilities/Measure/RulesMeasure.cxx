#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Controllers/ConfigurationStateMachine.h"
#include "Controllers/RulesPublisher.h"
#include "LinearFit.h"
#include "Rules/RuleParser.h"
#include "Rules/RuleSet.h"

using namespace almondspoke;
using namespace almondspoke::measure;

namespace {

constexpr int kRepeats = 10;

std::string
MakeRules(int aCount, int aChange = 0)
{
  static const char* const kForms[] = {
    "urgency kind-@ first 07:00-19:00 Europe/Zagreb # asked by the office\n",
    "never-repeat kind-@ # asked by the commission desk\n",
    "ceiling kind-@ 40% # asked by the workshop\n",
    "quota team-@ 64 slots # asked by the north crew lead\n",
    "timeout kind-@ 2s # asked by the office\n",
  };
  std::string text;
  for (int index = 0; index < aCount; ++index) {
    std::string line = kForms[index % std::size(kForms)];
    line.replace(line.find('@'), 1, std::to_string(index));
    if (aChange % aCount == index) {
      line.replace(line.find('#'), 1, "# change " + std::to_string(aChange));
    }
    text += line;
  }
  return text;
}

/** Processor time of one run, in milliseconds. */
double
Milliseconds(int aRuns, const std::function<void()>& aWork)
{
  constexpr double kMillisecondsPerSecond = 1000;
  const double begin = ProcessorSeconds();
  for (int run = 0; run < aRuns; ++run) {
    aWork();
  }
  return (ProcessorSeconds() - begin) * kMillisecondsPerSecond / aRuns;
}

void
MeasureRules()
{
  std::vector<Point> parse;
  std::vector<Point> memory;
  std::vector<Point> lookup;
  // The first use of a zone reads it from the disk.
  RuleParser::Parse(MakeRules(1));
  for (const int count : { 10, 100, 1000, 5000, 10000 }) {
    const std::string text = MakeRules(count);
    parse.push_back({ double(count), Milliseconds(kRepeats, [&text] {
                        (void)RuleSet::FromText(1, text);
                      }) });
    const double before = AllocatedBytes();
    const auto rules = RuleSet::FromText(1, text).value();
    memory.push_back({ double(count), AllocatedBytes() - before });

    constexpr int kLookups = 200000;
    constexpr double kNanosecondsPerMillisecond = 1e6;
    const std::vector<std::string_view>& kinds = rules->KindNames();
    std::size_t next = 0;
    const double spent = Milliseconds(kLookups, [&rules, &kinds, &next] {
      next = (next + 1) % kinds.size();
      (void)rules->Kind(kinds[next]).UrgencyAt(Clock::Wall{});
    });
    lookup.push_back({ double(count), spent * kNanosecondsPerMillisecond });
  }
  PrintSeries("parse and build", "rules", "ms", parse);
  PrintSeries("rule set in memory", "rules", "B", memory);
  PrintSeries("look-up with its window", "rules", "ns", lookup);
}

/** Commands that change one rule each, as operators would. */
std::vector<std::string>
MakeChanges(int aCount, int aRules)
{
  std::vector<std::string> commands;
  RulesText base{ 0, MakeRules(aRules) };
  for (int change = 0; change < aCount; ++change) {
    ChangeCommand command;
    command.mRequestId = "request-" + std::to_string(change);
    command.mBaseVersion = static_cast<RulesVersion>(change);
    command.mAuthor = "measure";
    std::string text = MakeRules(aRules, change);
    SetText(command, text, change == 0 ? std::nullopt : std::optional(base));
    commands.push_back(EncodeCommand(command));
    base.mText = std::move(text);
  }
  return commands;
}

void
ApplyChanges(ConfigurationStateMachine& aMachine,
             const std::vector<std::string>& aCommands)
{
  LogIndex index = 0;
  for (const std::string& command : aCommands) {
    aMachine.Apply(++index, command);
  }
}

void
MeasureChanges(int aRules)
{
  std::vector<Point> command;
  std::vector<Point> propose;
  std::vector<Point> apply;
  std::vector<Point> replay;
  std::vector<Point> oldest;
  std::vector<Point> snapshot;
  std::vector<Point> restore;
  std::vector<Point> bytes;
  const SystemClock clock;
  for (const int count : { 100, 300, 1000, 3000 }) {
    std::vector<std::string> commands;
    propose.push_back({ double(count), Milliseconds(1, [&] {
                          commands = MakeChanges(count, aRules);
                        }) });
    command.push_back({ double(count), double(commands.back().size()) });
    RulesPublisher publisher(clock);
    ConfigurationStateMachine machine({}, publisher);
    apply.push_back({ double(count), Milliseconds(1, [&] {
                        ApplyChanges(machine, commands);
                      }) });
    RulesPublisher replayedPublisher(clock);
    ConfigurationStateMachine replayed({}, replayedPublisher);
    replay.push_back({ double(count), Milliseconds(1, [&] {
                         replayed.BeginBatch();
                         ApplyChanges(replayed, commands);
                         replayed.EndBatch();
                       }) });
    const auto kept = RulesVersion(count - std::min(count, 1000) + 1);
    oldest.push_back(
      { double(count), Milliseconds(1, [&] { (void)machine.TextOf(kept); }) });
    std::string taken;
    snapshot.push_back({ double(count), Milliseconds(1, [&] {
                           taken = machine.TakeSnapshot();
                         }) });
    bytes.push_back({ double(count), double(taken.size()) });
    RulesPublisher restoredPublisher(clock);
    ConfigurationStateMachine restored({}, restoredPublisher);
    restore.push_back({ double(count), Milliseconds(1, [&] {
                          (void)restored.RestoreSnapshot(taken);
                        }) });
  }
  const std::string rules = " of " + std::to_string(aRules) + " rules";
  PrintSeries("last command" + rules, "changes", "B", command);
  PrintSeries("make commands" + rules, "changes", "ms", propose);
  PrintSeries("apply and publish" + rules, "changes", "ms", apply);
  PrintSeries("replay in a batch" + rules, "changes", "ms", replay);
  PrintSeries("oldest kept text" + rules, "changes", "ms", oldest);
  PrintSeries("take a snapshot" + rules, "changes", "ms", snapshot);
  PrintSeries("snapshot" + rules, "changes", "B", bytes);
  PrintSeries("restore and publish" + rules, "changes", "ms", restore);
}

}

int
main()
{
  PrintSeriesHead();
  MeasureRules();
  MeasureChanges(20);
  MeasureChanges(1000);
  MeasureChanges(2500);
  return 0;
}
