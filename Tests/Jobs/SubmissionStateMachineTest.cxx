#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Jobs/SubmissionStateMachine.h"

using namespace almondspoke;

namespace {

constexpr std::uint64_t kBodyHash = 7;

// The multiplier gives each key a different high half, which identifies expired
// plain keys.
KeyHash
KeyOf(std::uint64_t aNumber)
{
  return { aNumber * 0x9E3779B97F4A7C15ULL + 1, aNumber };
}

/** \brief Applies commands and decodes their responses. */
class Driver
{
public:
  ExecutorEpoch Register(const InstanceName& aInstance, std::uint64_t aNonce)
  {
    RegisterExecutorCommand command;
    command.mInstance = aInstance;
    command.mNonce = aNonce;
    const auto response =
      DecodeRegisterExecutorResponse(ApplyEncoded(Encode(command)));
    return response.value().mEpoch;
  }

  ClaimResponse Claim(std::uint64_t aKey,
                      ExecutorEpoch aExecutor,
                      ClaimantToken aClaimant,
                      std::uint64_t aBodyHash = kBodyHash,
                      std::uint32_t aKeyEpoch = 0)
  {
    ClaimCommand command;
    command.mKey = KeyOf(aKey);
    command.mKeyEpoch = aKeyEpoch;
    command.mBodyHash = aBodyHash;
    command.mExecutor = aExecutor;
    command.mClaimant = aClaimant;
    return Apply(Encode(command));
  }

  ClaimOutcome Record(std::uint64_t aKey,
                      ExecutorEpoch aExecutor,
                      const std::string& aAnswer)
  {
    RecordAnswerCommand command;
    command.mKey = KeyOf(aKey);
    command.mExecutor = aExecutor;
    command.mAnswer = aAnswer;
    return Apply(Encode(command)).mOutcome;
  }

  ClaimOutcome Release(std::uint64_t aKey, ClaimantToken aClaimant)
  {
    ReleaseClaimCommand command;
    command.mKey = KeyOf(aKey);
    command.mClaimant = aClaimant;
    return Apply(Encode(command)).mOutcome;
  }

  void DeclareLost(ExecutorEpoch aExecutor)
  {
    ExecutorLostCommand command;
    command.mExecutor = aExecutor;
    Apply(Encode(command));
  }

  void Advance(std::uint64_t aMilliseconds, const SubmissionLimits& aLimits)
  {
    AdvanceClockCommand command;
    command.mElapsedMs = aMilliseconds;
    command.mLimits = aLimits;
    Apply(Encode(command));
  }

  ClaimResponse Apply(const std::string& aCommand)
  {
    return DecodeClaimResponse(ApplyEncoded(aCommand)).value();
  }

  /** Open claims of each live epoch. */
  std::map<ExecutorEpoch, std::uint64_t> OpenClaims() const
  {
    std::map<ExecutorEpoch, std::uint64_t> open;
    for (const ExecutorRegistration& executor : mMachine.Executors()) {
      open[executor.mEpoch] = executor.mOpenClaims;
    }
    return open;
  }

  SubmissionStateMachine mMachine;

private:
  std::string ApplyEncoded(const std::string& aCommand)
  {
    return mMachine.Apply(++mIndex, aCommand);
  }

  LogIndex mIndex = 0;
};

SubmissionLimits
SmallLimits()
{
  SubmissionLimits limits;
  limits.mMaxClaims = 16;
  limits.mMaxPlainKeys = 24;
  limits.mRetentionMs = 8000;
  limits.mPlainKeyRefusalMs = 100'000;
  limits.mMaxAnswerBytes = 100;
  limits.mMaxTotalAnswerBytes = 250;
  return limits;
}

}

TEST_CASE("Claims: the first claim wins and later ones return its state")
{
  Driver driver;
  const ExecutorEpoch a = driver.Register("a", 1);
  const ExecutorEpoch b = driver.Register("b", 2);
  CHECK(driver.Claim(1, a, 10).mOutcome == ClaimOutcome::Won);
  CHECK(driver.Claim(1, a, 10).mOutcome == ClaimOutcome::Won);
  const ClaimResponse other = driver.Claim(1, b, 11);
  CHECK(other.mOutcome == ClaimOutcome::InProgress);
  CHECK(other.mExecutor == "a");
  CHECK(driver.Claim(1, a, 12).mOutcome == ClaimOutcome::InProgress);
  CHECK(driver.Claim(1, b, 13, kBodyHash + 1).mOutcome ==
        ClaimOutcome::Conflict);

  CHECK(driver.Record(1, b, "wrong") == ClaimOutcome::ExecutorFenced);
  CHECK(driver.Record(1, a, "answer") == ClaimOutcome::Recorded);
  CHECK(driver.Record(1, a, "late duplicate") == ClaimOutcome::Recorded);
  const ClaimResponse answered = driver.Claim(1, b, 14);
  CHECK(answered.mOutcome == ClaimOutcome::Answered);
  CHECK(answered.mAnswer == "answer");
  CHECK(driver.Claim(1, b, 15, kBodyHash + 1).mOutcome ==
        ClaimOutcome::Conflict);
  CHECK(driver.Claim(1, a, 10).mOutcome == ClaimOutcome::Answered);
}

TEST_CASE("Claims: a lost executor is fenced and its open claims are lost")
{
  Driver driver;
  const ExecutorEpoch a = driver.Register("a", 1);
  const ExecutorEpoch b = driver.Register("b", 2);
  driver.Claim(1, a, 10);
  driver.Claim(2, a, 11);
  driver.Record(2, a, "done before the loss");
  driver.DeclareLost(a);

  CHECK(driver.Claim(1, b, 12).mOutcome == ClaimOutcome::ExecutorLost);
  CHECK(driver.Claim(1, a, 10).mOutcome == ClaimOutcome::ExecutorLost);
  CHECK(driver.Record(1, a, "late") == ClaimOutcome::ExecutorFenced);
  CHECK(driver.Release(1, 10) == ClaimOutcome::ExecutorLost);
  CHECK(driver.Claim(1, b, 13).mOutcome == ClaimOutcome::ExecutorLost);
  CHECK(driver.Claim(2, b, 14).mAnswer == "done before the loss");
  CHECK(driver.Claim(3, a, 15).mOutcome == ClaimOutcome::ExecutorFenced);

  const ExecutorEpoch again = driver.Register("a", 3);
  CHECK(again > b);
  CHECK(driver.Claim(1, again, 16).mOutcome == ClaimOutcome::ExecutorLost);
  CHECK(driver.Claim(3, again, 17).mOutcome == ClaimOutcome::Won);
}

TEST_CASE(
  "Claims: a repeated registration keeps its epoch, a new one fences the old")
{
  Driver driver;
  const ExecutorEpoch first = driver.Register("a", 1);
  CHECK(driver.Register("a", 1) == first);
  driver.Claim(1, first, 10);
  const ExecutorEpoch second = driver.Register("a", 2);
  CHECK(second > first);
  CHECK_FALSE(driver.mMachine.IsLive(first));
  CHECK(driver.Claim(1, second, 11).mOutcome == ClaimOutcome::ExecutorLost);
}

TEST_CASE(
  "Claims: a released key may be claimed again, but not by its claimant")
{
  Driver driver;
  const ExecutorEpoch a = driver.Register("a", 1);
  driver.Claim(1, a, 10);
  CHECK(driver.Release(1, 99) == ClaimOutcome::InProgress);
  CHECK(driver.Release(1, 10) == ClaimOutcome::Released);
  CHECK(driver.Claim(1, a, 10).mOutcome == ClaimOutcome::Released);
  CHECK(driver.Record(1, a, "late") == ClaimOutcome::ExecutorFenced);
  CHECK(driver.Claim(1, a, 11, kBodyHash + 1).mOutcome == ClaimOutcome::Won);
  CHECK(driver.Release(1, 10) == ClaimOutcome::InProgress);

  // A release that is applied before its claim prevents the claim.
  CHECK(driver.Release(2, 20) == ClaimOutcome::Released);
  CHECK(driver.Claim(2, a, 20).mOutcome == ClaimOutcome::Released);
  CHECK(driver.Claim(2, a, 21).mOutcome == ClaimOutcome::Won);

  driver.Record(1, a, "answer");
  CHECK(driver.Release(1, 11) == ClaimOutcome::Answered);
}

TEST_CASE("Claims: an expired key is refused and its work is not started again")
{
  Driver driver;
  const SubmissionLimits limits = SmallLimits();
  driver.Advance(0, limits);
  const ExecutorEpoch a = driver.Register("a", 1);
  driver.Claim(1, a, 10);
  driver.Claim(2, a, 11, kBodyHash, 1);
  driver.Claim(3, a, 12);
  driver.Record(1, a, "one");
  driver.Record(2, a, "two");
  driver.Advance(limits.mRetentionMs - 1, limits);
  CHECK(driver.Claim(1, a, 13).mOutcome == ClaimOutcome::Answered);
  driver.Advance(1, limits);
  CHECK(driver.Claim(1, a, 14).mOutcome == ClaimOutcome::Expired);
  CHECK(driver.Claim(2, a, 15, kBodyHash, 1).mOutcome == ClaimOutcome::Expired);
  CHECK(driver.Release(1, 14) == ClaimOutcome::Expired);
  // An open claim is stored beyond the retention.
  CHECK(driver.Claim(3, a, 12).mOutcome == ClaimOutcome::Won);

  const std::uint32_t current = driver.mMachine.Counts().mKeyEpoch;
  CHECK(driver.Claim(4, a, 16, kBodyHash, current + 1).mOutcome ==
        ClaimOutcome::EpochNotIssued);
  CHECK(driver.Claim(4, a, 16, kBodyHash, current).mOutcome ==
        ClaimOutcome::Won);

  driver.Advance(limits.mPlainKeyRefusalMs, limits);
  CHECK(driver.mMachine.Counts().mExpiredPlainKeys <= 1);
  CHECK(driver.Claim(2, a, 17, kBodyHash, 1).mOutcome == ClaimOutcome::Expired);
}

TEST_CASE("Claims: at the claim limit the oldest are dropped and then refused")
{
  const bool dated = GENERATE(false, true);
  Driver driver;
  const SubmissionLimits limits = SmallLimits();
  driver.Advance(0, limits);
  const ExecutorEpoch a = driver.Register("a", 1);
  std::vector<std::uint32_t> epochs;
  for (std::uint64_t key = 0; key < 24; ++key) {
    const std::uint32_t epoch = dated ? driver.mMachine.Counts().mKeyEpoch : 0;
    epochs.push_back(epoch);
    REQUIRE(driver.Claim(key, a, key + 1, kBodyHash, epoch).mOutcome ==
            ClaimOutcome::Won);
    driver.Record(key, a, "x");
  }
  CHECK(driver.mMachine.Counts().mClaims == limits.mMaxClaims);
  for (std::uint64_t key = 0; key < 24; ++key) {
    const ClaimOutcome expected =
      key < 8 ? ClaimOutcome::Expired : ClaimOutcome::Answered;
    CHECK(driver.Claim(key, a, 99, kBodyHash, epochs[key]).mOutcome ==
          expected);
  }
  if (!dated) {
    CHECK(driver.Claim(100, a, 1).mOutcome == ClaimOutcome::TooManyPlainKeys);
  }
}

TEST_CASE("Claims: open claims are not dropped for new ones")
{
  Driver driver;
  const SubmissionLimits limits = SmallLimits();
  driver.Advance(0, limits);
  const ExecutorEpoch a = driver.Register("a", 1);
  for (std::uint64_t key = 0; key < limits.mMaxClaims; ++key) {
    REQUIRE(driver.Claim(key, a, key + 1).mOutcome == ClaimOutcome::Won);
  }
  CHECK(driver.Claim(100, a, 1).mOutcome == ClaimOutcome::TooManyOpenClaims);
  driver.Record(5, a, "x");
  CHECK(driver.Claim(100, a, 1).mOutcome == ClaimOutcome::Won);
  CHECK(driver.Claim(5, a, 6).mOutcome == ClaimOutcome::Expired);
}

TEST_CASE("Claims: answers beyond the size limits are not stored")
{
  Driver driver;
  driver.Advance(0, SmallLimits());
  const ExecutorEpoch a = driver.Register("a", 1);
  for (std::uint64_t key = 1; key <= 4; ++key) {
    driver.Claim(key, a, key);
  }
  CHECK(driver.Record(1, a, std::string(101, 'x')) == ClaimOutcome::Recorded);
  CHECK(driver.Claim(1, a, 9).mOutcome == ClaimOutcome::AnswerNotKept);
  driver.Record(2, a, std::string(100, 'x'));
  driver.Record(3, a, std::string(100, 'x'));
  driver.Record(4, a, std::string(100, 'x'));
  CHECK(driver.Claim(2, a, 9).mOutcome == ClaimOutcome::AnswerNotKept);
  CHECK(driver.Claim(3, a, 9).mOutcome == ClaimOutcome::Answered);
  CHECK(driver.mMachine.Counts().mAnswerBytes == 200);
}

TEST_CASE(
  "Claims: a replica restored from a snapshot behaves like the original")
{
  Driver original;
  const SubmissionLimits limits = SmallLimits();
  original.Advance(0, limits);
  const ExecutorEpoch a = original.Register("a", 1);
  const ExecutorEpoch b = original.Register("b", 2);
  for (std::uint64_t key = 0; key < 20; ++key) {
    const std::uint32_t epoch =
      key % 2 == 0 ? 0 : original.mMachine.Counts().mKeyEpoch;
    original.Claim(key, key % 3 == 0 ? a : b, key + 1, kBodyHash, epoch);
    if (key % 4 != 0) {
      original.Record(
        key, key % 3 == 0 ? a : b, std::string(40, 'a' + char(key)));
    }
    original.Advance(100, limits);
  }
  original.Release(19, 20);
  original.DeclareLost(b);

  Driver restored;
  const std::string snapshot = original.mMachine.TakeSnapshot();
  REQUIRE(restored.mMachine.RestoreSnapshot(snapshot));
  CHECK(restored.mMachine.TakeSnapshot() == snapshot);
  CHECK(original.OpenClaims().at(a) > 0);
  CHECK(restored.OpenClaims() == original.OpenClaims());
  for (std::uint64_t key = 0; key < 60; ++key) {
    const ClaimResponse expected = original.Claim(key, a, 500 + key);
    const ClaimResponse actual = restored.Claim(key, a, 500 + key);
    CHECK(actual.mOutcome == expected.mOutcome);
    CHECK(actual.mAnswer == expected.mAnswer);
    CHECK(restored.Record(key, a, std::string(30, 'z')) ==
          original.Record(key, a, std::string(30, 'z')));
    original.Advance(300, limits);
    restored.Advance(300, limits);
    CHECK(restored.OpenClaims() == original.OpenClaims());
  }
  CHECK(restored.mMachine.TakeSnapshot() == original.mMachine.TakeSnapshot());
}

TEST_CASE("Claims: open claims are counted per epoch")
{
  Driver driver;
  const ExecutorEpoch a = driver.Register("a", 1);
  const ExecutorEpoch b = driver.Register("b", 2);
  using Open = std::map<ExecutorEpoch, std::uint64_t>;
  driver.Claim(1, a, 10);
  driver.Claim(1, a, 10);
  driver.Claim(1, b, 11);
  driver.Claim(2, a, 20);
  CHECK(driver.OpenClaims() == Open{ { a, 2 }, { b, 0 } });
  driver.Release(2, 20);
  driver.Release(2, 20);
  CHECK(driver.OpenClaims() == Open{ { a, 1 }, { b, 0 } });
  driver.Claim(2, b, 21);
  CHECK(driver.OpenClaims() == Open{ { a, 1 }, { b, 1 } });
  driver.Record(1, b, "fenced");
  driver.Record(1, a, "answer");
  driver.Record(1, a, "answer");
  CHECK(driver.OpenClaims() == Open{ { a, 0 }, { b, 1 } });
  const ExecutorEpoch again = driver.Register("b", 3);
  driver.Record(2, b, "late");
  driver.Release(2, 21);
  CHECK(driver.OpenClaims() == Open{ { a, 0 }, { again, 0 } });
}

TEST_CASE("Claims: malformed commands and snapshots change nothing")
{
  Driver driver;
  const ExecutorEpoch a = driver.Register("a", 1);
  driver.Claim(1, a, 10);
  driver.Record(1, a, "kept");
  const std::string before = driver.mMachine.TakeSnapshot();
  for (const std::string& command : { std::string(),
                                      std::string("\x02"),
                                      std::string("\x02\xc0"),
                                      std::string("\x63\x90"),
                                      std::string("\x01\x92\xa1") }) {
    CHECK(driver.Apply(command).mOutcome == ClaimOutcome::Malformed);
  }
  // Five bytes that announce an array of 2^32 - 1 members.
  const std::string hugeArray = "\xdd\xff\xff\xff\xff";
  CHECK(driver.Apply("\x02" + hugeArray).mOutcome == ClaimOutcome::Malformed);
  CHECK_FALSE(driver.mMachine.RestoreSnapshot(hugeArray));
  for (std::size_t length = 0; length < before.size(); ++length) {
    const Result<void> result =
      driver.mMachine.RestoreSnapshot(before.substr(0, length));
    REQUIRE_FALSE(result);
    CHECK(result.error().Kind() == ErrorKind::StorageCorrupt);
  }
  CHECK_FALSE(driver.mMachine.RestoreSnapshot(before + "\x01"));
  CHECK(driver.mMachine.TakeSnapshot() == before);
}
