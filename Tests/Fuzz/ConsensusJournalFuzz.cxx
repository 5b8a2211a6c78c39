#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "Consensus/Journal.h"
#include "Support/MemoryJournalStorage.h"

/** Checks that a journal with arbitrary content opens, and that opening it
 * again gives the same state. */
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  almondspoke::testing::MemoryJournalStorage storage;
  {
    almondspoke::Journal journal(storage);
    if (!journal.Open(1)) {
      std::abort();
    }
  }
  auto files = storage.Copy();
  files["journal"] = { std::string(reinterpret_cast<const char*>(aData), aSize),
                       aSize };
  storage.SetFiles(files);
  almondspoke::Journal first(storage);
  const auto opened = first.Open(1);
  if (!opened) {
    return 0;
  }
  almondspoke::Journal second(storage);
  const auto again = second.Open(1);
  const bool same =
    again && again.value().mEntries.size() == opened.value().mEntries.size();
  if (!same || second.TruncatedBytes() != 0) {
    std::abort();
  }
  return 0;
}
