// Stand-in for the platform: a transactional table and an object store over HTTP. Faults can be
// injected at run time.

#include <gflags/gflags.h>

#include "platform_server.h"
#include "standin_main.h"

DEFINE_string(listen, "127.0.0.1:9000", "address that serves the table and the objects");
DEFINE_string(control, "",
              "address that serves /faults and /stats also while --listen refuses connections");
DEFINE_string(state, "", "file that preserves table and objects across restarts");
DEFINE_uint64(seed, 1, "random seed that selects the lost answers");
DEFINE_uint64(max_writes_per_second, 0,
              "writes over this rate are answered with status 429; 0 means no limit");
DEFINE_uint64(max_reads_per_second, 0,
              "reads over this rate are answered with status 429; 0 means no limit");

namespace bulrushway::standin {
namespace {

int Run(int argc, char** argv) {
  gflags::SetUsageMessage("stand-in for the platform's table service and object store");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  platform_settings settings;
  settings.listen = AddressOrExit(FLAGS_listen);
  if (!FLAGS_control.empty()) settings.control = AddressOrExit(FLAGS_control);
  settings.state_file = FLAGS_state;
  settings.seed = FLAGS_seed;
  settings.faults.max_writes_per_second = FLAGS_max_writes_per_second;
  settings.faults.max_reads_per_second = FLAGS_max_reads_per_second;
  event_loop loop;
  platform_server server(loop, settings);
  return RunService(loop, "platform", server);
}

}  // namespace
}  // namespace bulrushway::standin

int main(int argc, char** argv) { return bulrushway::standin::Run(argc, argv); }
