// Stand-in for a target: runs requests in a fixed number of slots. Faults can be injected at run
// time.

#include <gflags/gflags.h>

#include "standin_main.h"
#include "target_server.h"

DEFINE_string(listen, "127.0.0.1:9100", "address to listen on");
DEFINE_string(name, "target", "name in answers and reports");
DEFINE_uint64(slots, 12, "requests that run concurrently");
DEFINE_uint64(queue, 100, "requests that may wait for a slot; further ones are shed as not run");
DEFINE_uint64(connections, 130, "limit of open connections; requests over it are shed as not run");
DEFINE_double(service_ms, 5, "mean service time in milliseconds");
DEFINE_string(shape, "exponential",
              "distribution of service times: fixed, exponential or lognormal");
DEFINE_uint64(cold_requests, 0,
              "the target is cold until it has finished this many requests; 0 disables this");
DEFINE_uint64(cold_ms, 0, "the target is cold for at most this many milliseconds; 0 disables this");
DEFINE_double(cold_factor, 4, "factor on the service time while cold");
DEFINE_uint64(cold_bearable, 3, "concurrent requests beyond which a cold target is overloaded");
DEFINE_bool(check_grants, false, "refuse requests with an outdated epoch or an expired grant");
DEFINE_uint64(padding, 200, "padding in each answer, in bytes");
DEFINE_uint64(seed, 1, "random seed of the service times");
DEFINE_string(boot_id, "", "identifies the incarnation of the target; random when empty");

namespace bulrushway::standin {
namespace {

service_shape ShapeOrExit(const std::string& name) {
  if (name == "fixed") return service_shape::kFixed;
  if (name == "exponential") return service_shape::kExponential;
  if (name == "lognormal") return service_shape::kLognormal;
  ExitWithError({error_kind::kUser, "read flags", "--shape",
                 "The shape \"" + name + "\" is not one of fixed, exponential, lognormal."});
}

std::string RandomBootId() {
  std::random_device device;
  return std::to_string((static_cast<uint64_t>(device()) << 32) | device());
}

int Run(int argc, char** argv) {
  gflags::SetUsageMessage("stand-in for a target");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  target_settings settings;
  settings.name = FLAGS_name;
  settings.listen = AddressOrExit(FLAGS_listen);
  settings.slots = FLAGS_slots;
  settings.queue = FLAGS_queue;
  settings.connections = FLAGS_connections;
  settings.service.mean = std::chrono::microseconds{static_cast<int64_t>(FLAGS_service_ms * 1000)};
  settings.service.shape = ShapeOrExit(FLAGS_shape);
  settings.service.cold_requests = FLAGS_cold_requests;
  settings.service.cold_time = std::chrono::milliseconds{FLAGS_cold_ms};
  settings.service.cold_factor = FLAGS_cold_factor;
  settings.service.cold_concurrency = FLAGS_cold_bearable;
  settings.check_grants = FLAGS_check_grants;
  settings.padding = FLAGS_padding;
  settings.seed = FLAGS_seed;
  settings.boot_id = FLAGS_boot_id.empty() ? RandomBootId() : FLAGS_boot_id;
  event_loop loop;
  target_server server(loop, settings, boot_clock::now());
  return RunService(loop, "target", server);
}

}  // namespace
}  // namespace bulrushway::standin

int main(int argc, char** argv) { return bulrushway::standin::Run(argc, argv); }
