// Library that tests load into a daemon with LD_PRELOAD to inject disk faults.
// The environment variable ALMONDSPOKE_FAULTY_DISK holds a path prefix. While
// the file PREFIX.full exists, a write stores only the first half of its bytes,
// and a write of a single byte fails with ENOSPC. While PREFIX.failing exists,
// each sync fails with EIO.

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <string>

namespace {

bool
HasFault(const char* aSuffix)
{
  const char* prefix = std::getenv("ALMONDSPOKE_FAULTY_DISK");
  return prefix != nullptr &&
         ::access((std::string(prefix) + aSuffix).c_str(), F_OK) == 0;
}

// True for regular files except standard output and error: these hold the
// daemon's log, which is taken to be on another disk.
bool
IsOnFaultyDisk(int aFile)
{
  struct stat status = {};
  return aFile > STDERR_FILENO && ::fstat(aFile, &status) == 0 &&
         S_ISREG(status.st_mode);
}

int
SyncBy(long aCall, int aFile)
{
  if (HasFault(".failing")) {
    errno = EIO;
    return -1;
  }
  return static_cast<int>(::syscall(aCall, aFile));
}

}

extern "C"
{

  int fsync(int aFile)
  {
    return SyncBy(SYS_fsync, aFile);
  }

  int fdatasync(int aFile)
  {
    return SyncBy(SYS_fdatasync, aFile);
  }

  ssize_t write(int aFile, const void* aBytes, std::size_t aSize)
  {
    if (IsOnFaultyDisk(aFile) && HasFault(".full")) {
      // Writes the first half, so that a record is left incomplete.
      aSize /= 2;
      if (aSize == 0) {
        errno = ENOSPC;
        return -1;
      }
    }
    return ::syscall(SYS_write, aFile, aBytes, aSize);
  }
}
