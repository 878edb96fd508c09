#ifndef BULRUSHWAY_RECOVERY_H
#define BULRUSHWAY_RECOVERY_H

// Take-over when memory is not enough: witnesses that restarted know nothing of a term, or every
// member of a chain is gone. The table then shows whether a term had a successor, and takes a late
// heir into the record of an orphaned slice, one at a time by the row's version.

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "attestation.h"
#include "custody.h"
#include "inheritance.h"
#include "ownership_types.h"

namespace bulrushway {

/// Recovery work of one node, one piece at a time.
class recovery {
 public:
  recovery(ownership_settings settings, uint64_t process)
      : settings_(std::move(settings)), process_(process) {}

  /// A round about the term stayed undecided because witnesses never heard of it.
  void WantProof(instant now, const term_id& term, const std::vector<node_name>& witnesses);
  /// Starts what is due. `self` is this node's active term as an heir.
  void Tick(instant now, const heir& self, const std::vector<member>& members,
            const inheritance& records, std::mt19937_64& random, outbox& out);
  void OnRows(instant now, const std::string& prefix, const result<std::vector<table_row>>& rows,
              const heir& self, inheritance& records, term_outcomes& outcomes, attestor& rounds,
              outbox& out);
  void OnCommit(instant now, const std::string& operation, commit_outcome outcome,
                inheritance& records);

 private:
  struct proof {
    term_id term;
    std::vector<node_name> witnesses;
  };
  /// The piece of work in hand: a proof, the adoption of a record, or a read of all terms to pass
  /// over a process that ended.
  struct work {
    std::optional<proof> wanted_proof;
    std::optional<term_id> adopted;
    std::optional<term_id> ended;
    node_name node;
    instant read_sent;
    std::optional<std::vector<table_row>> node_rows;
    std::optional<std::vector<table_row>> term_rows;
    std::string operation;
    term_record extended;
  };

  bool Due(instant now, const term_id& term, std::chrono::milliseconds interval);
  void StartWork(instant now, work started, outbox& out);
  void Forward(instant now, const term_record& record, const std::vector<member>& members,
               const inheritance& records, std::mt19937_64& random, outbox& out);
  void FinishProof(instant now, term_outcomes& outcomes, attestor& rounds, outbox& out);
  void Scan(instant now, const term_id& ended, outbox& out);
  void FinishScan(inheritance& records, outbox& out);
  void Adopt(instant now, const heir& self, inheritance& records, outbox& out);

  ownership_settings settings_;
  uint64_t process_;
  uint64_t operations_ = 0;
  std::deque<proof> proofs_;
  std::optional<work> work_;
  struct attempt {
    instant at;
    uint32_t count = 0;
  };
  std::map<term_id, attempt> attempts_;
};

}  // namespace bulrushway

#endif  // BULRUSHWAY_RECOVERY_H
