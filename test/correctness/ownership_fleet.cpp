#include "ownership_fleet.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "ownership_core.h"

namespace bulrushway {
namespace {

using std::chrono::milliseconds;

constexpr size_t kNodes = 6;
constexpr uint32_t kSlicesPerPartition = 3;
constexpr uint32_t kSlices = kSlicesPerPartition * 3;
constexpr milliseconds kStep{10};
constexpr milliseconds kTickInterval{50};
constexpr milliseconds kGossipInterval{200};
constexpr milliseconds kGossipForgets{1000};
constexpr milliseconds kSettleTime{7000};
constexpr milliseconds kFaultTime{6000};
/// A planned move leaves a slice without an owner for a moment.
constexpr milliseconds kMoveTime{1000};
constexpr milliseconds kHealTime{25000};

struct place {
  const char* region;
  const char* data_centre;
  const char* rack;
};
constexpr std::array<place, kNodes> kPlaces = {{{"lima", "l1", "a"},
                                                {"lima", "l1", "b"},
                                                {"lima", "l2", "a"},
                                                {"cusco", "c1", "a"},
                                                {"cusco", "c1", "b"},
                                                {"cusco", "c2", "a"}}};

struct slot {
  ownership_settings settings;
  std::unique_ptr<ownership_core> core;
  /// Counts the processes of this node.
  int process = 0;
  double pace = 1.0;
  milliseconds next_tick{0};
  milliseconds paused_until{0};
  milliseconds restart_at{0};
  milliseconds cut_in_until{0};
  milliseconds cut_out_until{0};
  publish_claim_action claim;
  std::map<size_t, milliseconds> seen;
};

struct flying_message {
  milliseconds due;
  size_t from = 0;
  size_t to = 0;
  ownership_message message;
};

struct flying_fact {
  milliseconds due;
  size_t to = 0;
  term_id gone;
};

struct table_operation {
  milliseconds due;
  size_t node = 0;
  int process = 0;
  std::optional<transaction> change;
  std::string prefix;
};

struct running_request {
  size_t node = 0;
  int process = 0;
  slice_number slice = 0;
  milliseconds until;
};

class fleet {
 public:
  fleet(uint64_t seed, const fleet_options& options) : random_(seed), options_(options) {
    for (size_t i = 0; i < kNodes; ++i) slots_.push_back(MakeSlot(i));
  }

  std::string Run() {
    RunUntil(kSettleTime);
    if (options_.check_progress) AwaitService("before the faults", kMoveTime);
    for (int i = 0; i < options_.faults; ++i) {
      fault_times_.push_back(now_ + milliseconds(Pick(0, kFaultTime.count() / 2)));
    }
    trouble_ = options_.faults > 0;
    RunUntil(now_ + kFaultTime);
    Heal();
    if (options_.check_progress) AwaitService("after the faults", kHealTime);
    return failure_;
  }

 private:
  int64_t Pick(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(random_);
  }
  bool Chance(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

  slot MakeSlot(size_t index) {
    slot made;
    made.settings.node = "n" + std::to_string(index);
    made.settings.address = "127.0.0." + std::to_string(index + 1);
    made.settings.service = "druck";
    made.settings.region = kPlaces[index].region;
    made.settings.data_centre = kPlaces[index].data_centre;
    made.settings.rack = kPlaces[index].rack;
    made.settings.layout = {{"lima", "cusco"}, kSlicesPerPartition};
    made.settings.rules = options_.rules;
    made.settings.heir_count = 3;
    made.pace = 1.0 + options_.drift * std::uniform_real_distribution<>(-1, 1)(random_);
    made.restart_at = milliseconds(Pick(0, 1500));
    return made;
  }

  instant Local(const slot& node, milliseconds at) const {
    const auto elapsed = static_cast<int64_t>(static_cast<double>(at.count()) * node.pace * 1e6);
    return instant{} + std::chrono::hours(1) + std::chrono::nanoseconds(elapsed);
  }
  milliseconds World(const slot& node, instant at) const {
    const auto local = std::chrono::duration_cast<std::chrono::nanoseconds>(at - instant{} -
                                                                            std::chrono::hours(1));
    return milliseconds(static_cast<int64_t>(static_cast<double>(local.count()) / node.pace / 1e6));
  }
  bool Paused(const slot& node) const { return now_ < node.paused_until; }
  bool Running(const slot& node) const { return node.core != nullptr && !Paused(node); }

  void StartNode(size_t index) {
    slot& node = slots_[index];
    ++node.process;
    node.claim = {};
    node.core = std::make_unique<ownership_core>(node.settings, random_());
    const int process = node.process;
    node.core->SetInFlightQuery([this, index, process](slice_number slice) {
      return static_cast<size_t>(
          std::count_if(requests_.begin(), requests_.end(), [&](const running_request& request) {
            return request.node == index && request.process == process && request.slice == slice;
          }));
    });
    node.core->Start(Local(node, now_));
    Note("n" + std::to_string(index) + " process starts");
    node.next_tick = now_;
    After(index);
  }

  void StopNode(size_t index, milliseconds downtime) {
    slots_[index].core.reset();
    slots_[index].restart_at = now_ + downtime;
  }

  void RunUntil(milliseconds end) {
    while (now_ < end && failure_.empty()) {
      now_ += kStep;
      StartFaults();
      Gossip();
      DeliverMessages();
      RunTable();
      TickNodes();
      RunRequests();
    }
  }

  void TickNodes() {
    for (size_t i = 0; i < kNodes; ++i) {
      slot& node = slots_[i];
      if (node.core == nullptr && now_ >= node.restart_at) StartNode(i);
      if (!Running(node) || now_ < node.next_tick) continue;
      node.next_tick = now_ + kTickInterval + milliseconds(Pick(-10, 10));
      node.core->Tick(Local(node, now_));
      After(i);
      if (node.core->Status().phase == ownership_phase::kStopped) {
        StopNode(i, milliseconds(Pick(100, 1000)));
      }
    }
  }

  void After(size_t index) {
    slot& node = slots_[index];
    for (ownership_action& action : node.core->TakeActions()) {
      if (auto* send = std::get_if<send_message_action>(&action)) {
        Launch(index, send->to, std::move(send->message));
      } else if (auto* commit = std::get_if<commit_action>(&action)) {
        operations_.push_back({TableDelay(), index, node.process, commit->change, ""});
      } else if (auto* read = std::get_if<read_prefix_action>(&action)) {
        operations_.push_back({TableDelay(), index, node.process, std::nullopt, read->prefix});
      } else if (auto* claim = std::get_if<publish_claim_action>(&action)) {
        node.claim = std::move(*claim);
      } else if (auto* fact = std::get_if<publish_fact_action>(&action)) {
        LaunchFact(fact->gone);
      } else if (auto* lost = std::get_if<slices_lost_action>(&action)) {
        if (lost->lapsed) CancelRequests(index);
      } else if (auto* event = std::get_if<event_action>(&action)) {
        Note("n" + std::to_string(index) + " event " +
             std::to_string(static_cast<int>(event->event)) + ": " + event->detail);
      }
    }
    CheckOwners();
  }

  milliseconds TableDelay() { return now_ + milliseconds(Pick(5, 40)); }

  void Launch(size_t from, const node_name& name, ownership_message message) {
    const auto to = static_cast<size_t>(std::stoi(name.substr(1)));
    const double loss = trouble_ ? 0.05 : 0.005;
    if (now_ < slots_[from].cut_out_until || now_ < slots_[to].cut_in_until) return;
    if (Chance(loss)) return;
    const int copies = Chance(trouble_ ? 0.05 : 0.0) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const bool late = trouble_ && Chance(options_.late);
      const milliseconds due = now_ + milliseconds(late ? Pick(200, 3000) : Pick(1, 30));
      messages_.push_back({due, from, to, message});
    }
  }

  void LaunchFact(const term_id& gone) {
    for (size_t to = 0; to < kNodes; ++to) {
      if (now_ < slots_[to].cut_in_until || Chance(0.3)) continue;
      facts_.push_back({now_ + milliseconds(Pick(10, 500)), to, gone});
    }
  }

  void DeliverMessages() {
    std::vector<flying_message> due;
    std::vector<flying_message> later;
    for (flying_message& item : messages_) {
      (item.due <= now_ ? due : later).push_back(std::move(item));
    }
    messages_ = std::move(later);
    std::shuffle(due.begin(), due.end(), random_);
    for (flying_message& item : due) {
      slot& node = slots_[item.to];
      if (node.core == nullptr) continue;
      if (Paused(node)) {
        item.due = node.paused_until;
        messages_.push_back(std::move(item));
        continue;
      }
      node.core->OnMessage(Local(node, now_), slots_[item.from].settings.node, item.message);
      After(item.to);
    }
    std::vector<flying_fact> facts;
    std::swap(facts, facts_);
    for (flying_fact& item : facts) {
      slot& node = slots_[item.to];
      if (item.due > now_) {
        facts_.push_back(item);
      } else if (Running(node)) {
        node.core->OnFact(Local(node, now_), item.gone);
        After(item.to);
      }
    }
  }

  void RunTable() {
    std::vector<table_operation> due;
    std::vector<table_operation> later;
    for (table_operation& item : operations_) {
      (item.due <= now_ ? due : later).push_back(std::move(item));
    }
    operations_ = std::move(later);
    for (const table_operation& item : due) RunOperation(item);
  }

  void RunOperation(const table_operation& item) {
    slot& node = slots_[item.node];
    const bool lost_before = now_ < table_down_until_ || (trouble_ && Chance(0.03));
    const bool lost_after = trouble_ && Chance(0.1);
    commit_outcome outcome = commit_outcome::kUnknown;
    if (item.change && !lost_before) outcome = Apply(*item.change);
    const bool same_process = node.core != nullptr && node.process == item.process;
    if (!same_process) return;
    if (Paused(node)) {
      if (!item.change)
        operations_.push_back({node.paused_until, item.node, item.process, {}, item.prefix});
      return;
    }
    const instant local = Local(node, now_);
    const bool silent = (lost_before || lost_after) && Chance(0.3);
    if (silent) return;
    if (item.change) {
      if (lost_after) outcome = commit_outcome::kUnknown;
      node.core->OnCommit(local, item.change->operation, outcome);
    } else if (lost_before || lost_after) {
      node.core->OnRows(local, item.prefix,
                        Failure(error_kind::kPeer, "read table", "table", "No answer came."));
    } else {
      node.core->OnRows(local, item.prefix, Rows(item.prefix));
    }
    After(item.node);
  }

  std::vector<table_row> Rows(const std::string& prefix) const {
    std::vector<table_row> rows;
    for (const auto& [key, row] : table_) {
      if (key.starts_with(prefix)) rows.push_back(row);
    }
    return rows;
  }

  commit_outcome Apply(const transaction& change) {
    const auto before = outcomes_.find(change.operation);
    if (before != outcomes_.end()) return before->second;
    for (const table_condition& condition : change.conditions) {
      const auto row = table_.find(condition.key);
      const uint64_t version = row == table_.end() ? 0 : row->second.version;
      if (version != condition.version) {
        return outcomes_[change.operation] = commit_outcome::kConflict;
      }
    }
    for (const table_write& write : change.writes) {
      if (!write.value) {
        table_.erase(write.key);
        continue;
      }
      table_[write.key] = {write.key, *write.value, ++version_};
    }
    return outcomes_[change.operation] = commit_outcome::kApplied;
  }

  void Gossip() {
    if (now_ < next_gossip_) return;
    next_gossip_ = now_ + kGossipInterval;
    for (size_t to = 0; to < kNodes; ++to) {
      slot& node = slots_[to];
      if (!Running(node)) continue;
      std::vector<member> members;
      for (size_t from = 0; from < kNodes; ++from) {
        const slot& other = slots_[from];
        const bool cut = now_ < other.cut_out_until || now_ < node.cut_in_until;
        if (from == to || other.core == nullptr) continue;
        if (!Paused(other) && !cut) node.seen[from] = now_;
        if (!node.seen.contains(from) || now_ - node.seen[from] > kGossipForgets) continue;
        members.push_back(AsMember(other));
      }
      node.core->OnMembers(Local(node, now_), std::move(members));
      After(to);
    }
  }

  static member AsMember(const slot& node) {
    member made;
    made.node = node.settings.node;
    made.term = node.claim.term;
    made.first_number = node.claim.first_number;
    made.witnesses = node.claim.witnesses;
    made.service = node.settings.service;
    made.region = node.settings.region;
    made.data_centre = node.settings.data_centre;
    made.rack = node.settings.rack;
    made.partition_slices.resize(3);
    for (const slice_epoch& entry : node.claim.slices) {
      ++made.partition_slices[entry.slice / kSlicesPerPartition];
    }
    made.leaving = node.claim.leaving;
    return made;
  }

  void StartFaults() {
    for (milliseconds& at : fault_times_) {
      if (at == milliseconds::max() || now_ < at) continue;
      at = milliseconds::max();
      StartFault(static_cast<size_t>(Pick(0, kNodes - 1)));
    }
  }

  void StartFault(size_t index) {
    slot& node = slots_[index];
    const int64_t kind = Pick(0, options_.planned_moves ? 7 : 6);
    Note("n" + std::to_string(index) + " fault " + std::to_string(kind));
    switch (kind) {
      case 0:
      case 1:
        StopNode(index, milliseconds(Pick(20, 3000)));
        break;
      case 2:
        node.paused_until = now_ + milliseconds(Pick(200, 3000));
        break;
      case 3:
        node.cut_in_until = now_ + milliseconds(Pick(500, 3000));
        break;
      case 4:
        node.cut_out_until = now_ + milliseconds(Pick(500, 3000));
        break;
      case 5:
        node.cut_in_until = now_ + milliseconds(Pick(500, 3000));
        node.cut_out_until = node.cut_in_until;
        break;
      case 6:
        table_down_until_ = now_ + milliseconds(Pick(500, 6000));
        break;
      default:
        if (Running(node)) {
          node.core->BeginStop(Local(node, now_));
          After(index);
        }
        break;
    }
  }

  void Heal() {
    trouble_ = false;
    table_down_until_ = milliseconds{0};
    fault_times_.clear();
    for (slot& node : slots_) {
      node.cut_in_until = milliseconds{0};
      node.cut_out_until = milliseconds{0};
    }
  }

  void RunRequests() {
    std::erase_if(requests_, [&](const running_request& item) { return item.until <= now_; });
    const auto index = static_cast<size_t>(Pick(0, kNodes - 1));
    const auto slice = static_cast<slice_number>(Pick(0, kSlices - 1));
    slot& node = slots_[index];
    if (!Running(node) || !node.core->Serves(Local(node, now_), slice)) return;
    const milliseconds deadline = World(node, node.core->LeaseExpiry());
    const milliseconds wanted = now_ + milliseconds(Pick(1, 400));
    requests_.push_back({index, node.process, slice, std::min(deadline, wanted)});
  }

  void CancelRequests(size_t index) {
    std::erase_if(requests_, [&](const running_request& item) { return item.node == index; });
  }

  /// The slice's owners right now, in-flight requests of other processes included.
  void CheckOwners() {
    for (slice_number slice = 0; slice < kSlices; ++slice) CheckSlice(slice);
  }

  void CheckSlice(slice_number slice) {
    std::optional<size_t> owner;
    for (size_t i = 0; i < kNodes; ++i) {
      const slot& node = slots_[i];
      if (!Running(node)) continue;
      const auto epoch = node.core->Serves(Local(node, now_), slice);
      if (!epoch) continue;
      if (owner)
        Fail(slice, "two owners: n" + std::to_string(*owner) + " and n" + std::to_string(i));
      owner = i;
      CheckEpoch(slice, i, *epoch);
    }
    if (!owner) return;
    for (const running_request& item : requests_) {
      if (item.slice != slice || item.until <= now_) continue;
      if (item.node == *owner && item.process == slots_[*owner].process) continue;
      Fail(slice, "n" + std::to_string(*owner) + " owns it while a request runs at n" +
                      std::to_string(item.node));
    }
  }

  void CheckEpoch(slice_number slice, size_t index, uint64_t epoch) {
    const auto holder = std::make_pair(index, slots_[index].process);
    auto& [highest, last] = epochs_[slice];
    if (epoch < highest) Fail(slice, "the epoch went back to " + std::to_string(epoch));
    if (epoch == highest && last != holder) {
      Fail(slice, "two holders of epoch " + std::to_string(epoch));
    }
    highest = epoch;
    last = holder;
  }

  void Fail(slice_number slice, const std::string& what) {
    if (!failure_.empty()) return;
    failure_ =
        "at " + std::to_string(now_.count()) + " ms, slice " + std::to_string(slice) + ": " + what;
    for (const auto& [key, row] : table_) {
      if (key.starts_with("term/")) failure_ += "\n" + row.value;
    }
    for (const std::string& line : notes_) failure_ += "\n  " + line;
  }

  /// Keeps the latest events for the report of a failure.
  void Note(const std::string& line) {
    notes_.push_back(std::to_string(now_.count()) + " ms " + line);
    if (notes_.size() > options_.notes) notes_.pop_front();
  }

  bool Served(slice_number slice) const {
    return std::any_of(slots_.begin(), slots_.end(), [&](const slot& node) {
      return Running(node) && node.core->Serves(Local(node, now_), slice);
    });
  }
  bool AllServed() const {
    for (slice_number slice = 0; slice < kSlices; ++slice) {
      if (!Served(slice)) return false;
    }
    return true;
  }
  void AwaitService(const std::string& when, milliseconds patience) {
    const milliseconds end = now_ + patience;
    while (failure_.empty() && now_ < end && !AllServed()) RunUntil(now_ + kStep);
    for (slice_number slice = 0; slice < kSlices; ++slice) {
      if (!Served(slice)) Fail(slice, "nobody serves it " + when);
    }
  }

  std::mt19937_64 random_;
  fleet_options options_;
  std::vector<slot> slots_;
  milliseconds now_{0};
  milliseconds next_gossip_{0};
  milliseconds table_down_until_{0};
  bool trouble_ = false;
  std::vector<milliseconds> fault_times_;
  std::vector<flying_message> messages_;
  std::vector<flying_fact> facts_;
  std::vector<table_operation> operations_;
  std::vector<running_request> requests_;
  std::map<std::string, table_row> table_;
  std::map<std::string, commit_outcome> outcomes_;
  uint64_t version_ = 0;
  std::map<slice_number, std::pair<uint64_t, std::pair<size_t, int>>> epochs_;
  std::string failure_;
  std::deque<std::string> notes_;
};

}  // namespace

std::string RunFleet(uint64_t seed, const fleet_options& options) {
  return fleet(seed, options).Run();
}

}  // namespace bulrushway
