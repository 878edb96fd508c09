#include "event_catalogue.h"

#include <algorithm>
#include <array>

namespace bulrushway {
namespace {

using enum event_level;

constexpr auto kCatalogue = std::to_array<event_entry>({
    {event_id::kStarted, kInfo, "started", "The process listens on all its addresses."},
    {event_id::kStopping, kInfo, "stopping",
     "A planned stop has begun: slices are given away, requests in flight finish."},
    {event_id::kStopped, kInfo, "stopped", "The process ends and owns nothing."},
    {event_id::kSettingsRejected, kError, "settings-rejected",
     "The settings file has errors; the process did not start."},
    {event_id::kServiceFailed, kError, "service-failed",
     "A service of the process could not start; the process ends."},
    {event_id::kConfigurationAdopted, kInfo, "configuration-adopted",
     "A newer version of inventory and rules is in force at this process."},
    {event_id::kConfigurationRefused, kError, "configuration-refused",
     "A version was not adopted: damaged, older, or from a newer program. The old one stays."},
    {event_id::kConfigurationStale, kWarning, "configuration-stale",
     "This process has not been able to confirm for a while that its version is the latest."},
    {event_id::kConfigurationMissing, kWarning, "configuration-missing",
     "This process has no configuration yet, from neither the platform nor a peer. It refuses all "
     "requests."},
    {event_id::kPlatformUnreachable, kWarning, "platform-unreachable",
     "The platform's table does not answer. Requests without a key are served; keys are until the "
     "lease of their owner ends."},
    {event_id::kPlatformAnswersAgain, kInfo, "platform-answers-again",
     "The platform's table answers after an outage."},
    {event_id::kConfigurationFresh, kInfo, "configuration-fresh",
     "The version in force is confirmed as the latest again."},
    {event_id::kLeaseLapsed, kError, "lease-lapsed",
     "This node could not renew its lease in time. It has stopped serving and joins anew."},
    {event_id::kSlicesGained, kInfo, "slices-gained", "This node now owns more slices."},
    {event_id::kSlicesLost, kInfo, "slices-lost", "This node owns fewer slices."},
    {event_id::kRowRefused, kError, "row-refused",
     "A row of the platform's table cannot be read or is from a newer program. It is left as it "
     "is."},
    {event_id::kDuplicateNode, kError, "duplicate-node",
     "Another live process uses the name of this node. This one does not serve."},
    {event_id::kMemberJoined, kInfo, "member-joined", "A node has announced itself."},
    {event_id::kMemberLeft, kInfo, "member-left", "A node has left."},
    {event_id::kLeaseAcquired, kInfo, "lease-acquired",
     "This node holds a lease and may own keys of its service."},
    {event_id::kOwnersChanged, kInfo, "owners-changed",
     "This node has changed who owns keys, or has tried to; the reason and the outcome are given."},
    {event_id::kTargetUp, kInfo, "target-up", "The target beside this process answers."},
    {event_id::kTargetDown, kError, "target-down",
     "The target beside this process does not answer."},
    {event_id::kTargetCold, kWarning, "target-cold",
     "The target shows signs of a fresh start; the cap on its requests has been lowered."},
    {event_id::kRequestQuarantined, kError, "request-quarantined",
     "A request was in flight at several target crashes and is refused from now on."},
    {event_id::kQuarantineReleased, kInfo, "quarantine-released",
     "A quarantined request is let through again."},
    {event_id::kAnswerCrossed, kError, "answer-crossed",
     "A target's answer belonged to another request and was not delivered."},
    {event_id::kInFlightCut, kWarning, "in-flight-cut",
     "Requests in flight were cancelled because the lease lapsed; their outcome is unknown."},
    {event_id::kDataCentreOut, kWarning, "data-centre-out",
     "The rules take the data centre of this process out: it takes no new work."},
    {event_id::kDataCentreBack, kInfo, "data-centre-back",
     "The rules put the data centre of this process back in."},
    {event_id::kHotKeys, kInfo, "hot-keys", "The hottest keys have changed."},
    {event_id::kLoopLate, kWarning, "loop-late",
     "The process was not scheduled for longer than it should be."},
    {event_id::kPeerLost, kWarning, "peer-lost",
     "The connection to a peer is gone, or nothing comes back on it."},
    {event_id::kPeerReachable, kInfo, "peer-reachable",
     "The connection to a peer works both ways."},
});

}  // namespace

std::span<const event_entry> EventCatalogue() { return kCatalogue; }

const event_entry& FindEvent(event_id id) {
  return *std::ranges::find(kCatalogue, id, &event_entry::id);
}

}  // namespace bulrushway
