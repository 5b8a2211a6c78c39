#include "Controllers/VotersController.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "Base/MessagePack.h"

namespace almondspoke {

namespace {

/** Longer than the group itself waits for a majority. */
constexpr std::chrono::milliseconds kForwardTimeout{ 5000 };
constexpr std::size_t kMaxFieldBytes = 128;

Result<void>
CheckField(const char* aName, const std::string& aValue)
{
  const bool printable =
    std::all_of(aValue.begin(), aValue.end(), [](unsigned char aCharacter) {
      return aCharacter >= ' ' && aCharacter < 0x7f;
    });
  if (aValue.empty() || aValue.size() > kMaxFieldBytes || !printable) {
    return Error(ErrorKind::InvalidArgument,
                 std::string("invalid ") + aName + " of " +
                   std::to_string(aValue.size()) + " bytes (allowed: 1 to " +
                   std::to_string(kMaxFieldBytes) +
                   " printable ASCII characters)");
  }
  return Success();
}

/** RPC method for changes of a group's voters. The method of the configuration
 * group has no suffix, for compatibility with releases that have no other
 * group. */
std::string
ChangeMethod(const GroupName& aGroup)
{
  const std::string method = "voters.change";
  return aGroup == kConfigurationGroupName ? method : method + '/' + aGroup;
}

void
ServeChange(VoterGroup& aGroup,
            const std::string& aRequest,
            const PeerRpc::Done& aDone)
{
  const Result<VoterChange> change = UnpackMessage<VoterChange>(aRequest);
  if (!change) {
    aDone(change.error());
    return;
  }
  aGroup.ChangeVoters(change.value(),
                      [aDone](const Result<std::uint64_t>& aVersion) {
                        if (!aVersion) {
                          aDone(aVersion.error());
                          return;
                        }
                        aDone(PackMessage(aVersion.value()));
                      });
}

Result<std::uint64_t>
VersionOf(Result<std::string> aResponse)
{
  BOOST_OUTCOME_TRY(encoded, std::move(aResponse));
  return UnpackMessage<std::uint64_t>(encoded);
}

}

VotersController::VotersController(Groups aGroups,
                                   PeerRpc& aRpc,
                                   DiskPresence aDiskPresence)
  : mGroups(std::move(aGroups))
  , mRpc(aRpc)
  , mDiskPresence(std::move(aDiskPresence))
{
  for (const auto& [name, group] : mGroups) {
    mRpc.Register(ChangeMethod(name),
                  [group = group](const InstanceName&,
                                  const std::string& aRequest,
                                  const PeerRpc::Done& aDone) {
                    ServeChange(*group, aRequest, aDone);
                  });
  }
}

Result<VoterGroup*>
VotersController::Find(const GroupName& aGroup) const
{
  const auto found = mGroups.find(aGroup);
  if (found != mGroups.end()) {
    return found->second;
  }
  std::string allowed;
  for (const auto& [name, group] : mGroups) {
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  return Error(ErrorKind::NotFound,
               "this instance has no replica of group '" + aGroup +
                 "' (allowed here: " + (allowed.empty() ? "none" : allowed) +
                 "; the voters of other groups are listed in [groups] of "
                 "the settings)");
}

Result<CoreStatus>
VotersController::Show(const GroupName& aGroup) const
{
  BOOST_OUTCOME_TRY(group, Find(aGroup));
  return group->Status();
}

void
VotersController::Change(const GroupName& aGroup,
                         VoterChange aChange,
                         Done aDone)
{
  const Result<VoterGroup*> group = Find(aGroup);
  if (!group) {
    aDone(group.error());
    return;
  }
  if (const Result<void> checked = Check(aChange); !checked) {
    aDone(checked.error());
    return;
  }
  const CoreStatus status = group.value()->Status();
  if (status.mRole == ReplicaRole::Leader) {
    group.value()->ChangeVoters(aChange, aDone);
    return;
  }
  if (!status.mLeader) {
    aDone(Error(ErrorKind::NoQuorum,
                "this instance knows no leader of the group; nothing was "
                "changed"));
    return;
  }
  mRpc.Call(*status.mLeader,
            ChangeMethod(aGroup),
            PackMessage(aChange),
            kForwardTimeout,
            [done = std::move(aDone)](Result<std::string> aResponse) {
              done(VersionOf(std::move(aResponse)));
            });
}

Result<void>
VotersController::Check(const VoterChange& aChange) const
{
  BOOST_OUTCOME_TRYV(CheckField("requestId", aChange.mRequestId));
  BOOST_OUTCOME_TRYV(CheckField("author", aChange.mAuthor));
  if (aChange.mIsRemoval) {
    // An instance that is no longer in the settings may still be a voter.
    return CheckField("name", aChange.mName);
  }
  const auto found = mDiskPresence.find(aChange.mName);
  if (found != mDiskPresence.end() && found->second) {
    return Success();
  }
  std::string allowed;
  for (const auto& [name, hasDisk] : mDiskPresence) {
    if (hasDisk) {
      allowed += (allowed.empty() ? "" : ", ") + name;
    }
  }
  const char* problem = found == mDiskPresence.end()
                          ? "is not in [instances] of the settings"
                          : "has no disk";
  return Error(ErrorKind::InvalidArgument,
               "instance '" + aChange.mName + "' " + problem +
                 " (allowed: " + allowed + ")");
}

}
