// The router process that runs beside a target. See docs/OPERATIONS.md.
#include <gflags/gflags.h>

#include <cstdio>
#include <random>

#include "bulrushway.h"

DEFINE_string(settings, "", "the settings file of this process (INI); see docs/SETTINGS.md");
DEFINE_bool(allow_faults, false,
            "enable POST /-/faults, which makes this process drop traffic; for tests");
DEFINE_string(picker, "scored",
              "policy that chooses the target of a lookup request; for comparisons");
DEFINE_bool(hedge, true,
            "hedge late idempotent requests (send them a second time); for comparisons");
DEFINE_bool(check, false, "only check the settings file");

int main(int argc, char** argv) {
  using bulrushway::ToString;
  gflags::SetUsageMessage("routes requests to the target beside it\n\n  bulrushd --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::fprintf(stderr, "bulrushd: name a settings file with --settings FILE.\n");
    return 1;
  }
  auto settings = bulrushway::ReadDaemonSettings(FLAGS_settings);
  if (!settings) {
    for (const auto& failure : settings.error()) {
      std::fprintf(stderr, "bulrushd: %s\n", ToString(failure).c_str());
    }
    return 1;
  }
  if (FLAGS_check) return 0;
  const auto picker = bulrushway::MakePicker(FLAGS_picker);
  if (!picker) {
    std::fprintf(stderr, "bulrushd: %s\n", ToString(picker.error()).c_str());
    return 1;
  }
  std::random_device entropy;
  const uint64_t seed = uint64_t{entropy()} << 32 | entropy();
  bulrushway::daemon daemon(std::move(*settings), *picker, FLAGS_hedge, seed);
  if (FLAGS_allow_faults) daemon.AllowFaults();
  if (const auto started = daemon.Start(bulrushway::boot_clock::now()); !started) {
    std::fprintf(stderr, "bulrushd: %s\n", ToString(started.error()).c_str());
    return 1;
  }
  daemon.Run();
  return 0;
}
