// Plays one case: main NUMBER RECORD
#include <csignal>

#include "cases.h"

int
main(int count, char** arguments)
{
  if (count != 3) {
    std::cerr << "usage: " << arguments[0] << " CASE RECORD\n";
    return review::kCouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const auto found = review::Cases().find(arguments[1]);
  if (found == review::Cases().end()) {
    std::cerr << "no such case: " << arguments[1] << '\n';
    return review::kCouldNotRun;
  }
  review::Record record(arguments[2]);
  return found->second(record);
}
