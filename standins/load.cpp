// Load generator that stands in for callers: sends requests open-loop and checks each answer
// against its request and against the executions that the targets recorded.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

#include "load_client.h"
#include "standin_main.h"

DEFINE_string(entries, "", "addresses that requests are sent to, separated by commas");
DEFINE_string(targets, "", "addresses of the targets whose execution logs are read at the end");
DEFINE_string(services, "corredores:lookup:0.8,cronometraje:keyed:0.2",
              "name, lookup or keyed, and share of the requests for each service");
DEFINE_double(rate, 100, "requests a second");
DEFINE_double(duration_s, 10, "duration of the load in seconds");
DEFINE_uint64(keys, 100, "number of keys");
DEFINE_double(zipf, 0, "exponent of the Zipf distribution of keys; 0 means uniform");
DEFINE_uint64(tenants, 4, "number of tenants");
DEFINE_double(write_share, 0.5, "share of the keyed requests that are not idempotent");
DEFINE_double(idempotency_share, 0.5, "share of the writes that carry an idempotency key");
DEFINE_double(repeat_share, 0, "share of the writes with an idempotency key that are sent twice");
DEFINE_string(item, "item", "path element before the key, for example poison");
DEFINE_uint64(deadline_ms, 1000,
              "deadline of each request in milliseconds, from its planned send time");
DEFINE_uint64(window_ms, 1000, "length of the report's time windows in milliseconds");
DEFINE_uint64(connections, 512, "maximum number of connections to one entry");
DEFINE_uint64(body_bytes, 100, "bytes in the body of a write");
DEFINE_uint64(seed, 1, "random seed of the plan");
DEFINE_string(json, "",
              "file that the report is written to as JSON; - prints the JSON instead of the table");

namespace bulrushway::standin {
namespace {

load_settings PlanSettings() {
  load_settings settings;
  auto services = ParseLoadServices(FLAGS_services);
  if (!services) ExitWithError(services.error());
  settings.services = std::move(*services);
  settings.rate = FLAGS_rate;
  settings.duration = std::chrono::milliseconds{static_cast<int64_t>(FLAGS_duration_s * 1000)};
  settings.deadline = std::chrono::milliseconds{FLAGS_deadline_ms};
  settings.keys = FLAGS_keys;
  settings.zipf = FLAGS_zipf;
  settings.tenants = FLAGS_tenants;
  settings.write_share = FLAGS_write_share;
  settings.idempotency_share = FLAGS_idempotency_share;
  settings.repeat_share = FLAGS_repeat_share;
  settings.item = FLAGS_item;
  settings.seed = FLAGS_seed;
  return settings;
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage("open-loop load generator that checks the answers");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  load_client_settings settings;
  settings.entries = AddressesOrExit(FLAGS_entries);
  settings.targets = AddressesOrExit(FLAGS_targets);
  settings.window = std::chrono::milliseconds{FLAGS_window_ms};
  settings.connections = FLAGS_connections;
  settings.body_bytes = FLAGS_body_bytes;
  event_loop loop;
  load_client client(loop, load_plan(PlanSettings()), settings);
  RunService(loop, "load", client);
  const std::string as_json = ReportAsJson(client.Report(), client.SenderFigures());
  if (FLAGS_json == "-") {
    std::fputs(as_json.c_str(), stdout);
    return 0;
  }
  if (!FLAGS_json.empty()) std::ofstream(FLAGS_json) << as_json;
  std::fputs(ReportAsTable(client.Report(), client.SenderFigures()).c_str(), stdout);
  return 0;
}

}  // namespace
}  // namespace bulrushway::standin

int main(int argc, char** argv) { return bulrushway::standin::Run(argc, argv); }
