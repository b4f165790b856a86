#include "app/internal/processreport.h"

#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace sardinerun::app {

void reportProcess(telemetry::Metrics& metrics)
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const double cpu = double(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
        + double(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    metrics.set(telemetry::Metric::ProcessCpuSeconds, {}, cpu);
    std::ifstream statm("/proc/self/statm");
    std::int64_t pages = 0;
    std::int64_t resident = 0;
    statm >> pages >> resident;
    metrics.set(telemetry::Metric::ProcessMemoryBytes, {}, double(resident) * double(sysconf(_SC_PAGESIZE)));
    std::error_code ec; // without descriptors the folder cannot be read; the metric then keeps its value
    std::filesystem::directory_iterator it("/proc/self/fd", ec);
    if (ec)
        return;
    std::size_t descriptors = 0;
    for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++descriptors;
    metrics.set(telemetry::Metric::ProcessDescriptors, {}, double(descriptors));
}

} // namespace sardinerun::app
