#define BOOST_TEST_MODULE telemetry
#include "telemetry/crashreport.h"
#include "telemetry/logbuffer.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fcntl.h>
#include <set>
#include <sys/wait.h>
#include <unistd.h>

using namespace sardinerun::telemetry;

BOOST_AUTO_TEST_CASE(aChildSpanContinuesTheTrace)
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto it = TraceContext::parse(header);
    BOOST_REQUIRE(bool(it));
    BOOST_TEST(it->isSampled);
    BOOST_TEST(it->header() == header);
    const TraceContext next = it->child();
    BOOST_TEST(next.traceId == it->traceId);
    BOOST_TEST(next.spanId != it->spanId);
}

BOOST_AUTO_TEST_CASE(invalidTraceHeadersAreRejected)
{
    for (const char* it : { "", "00-1-2-01", "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             "00-00000000000000000000000000000000-b7ad6b7169203331-01",
             "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" })
        BOOST_TEST(!TraceContext::parse(it));
}

BOOST_AUTO_TEST_CASE(metricsAreRenderedForPrometheus)
{
    const auto metrics = Metrics::create();
    metrics->add(Metric::Requests, { { "service", "labdesk" }, { "outcome", "answered" } });
    metrics->add(Metric::Requests, { { "service", "labdesk" }, { "outcome", "answered" } });
    metrics->set(Metric::StoreUp, {}, 1);
    const std::string text = metrics->text();
    BOOST_TEST(text.find("sardinerun_requests_total{outcome=\"answered\",service=\"labdesk\"} 2") != std::string::npos);
    BOOST_TEST(text.find("sardinerun_store_up 1") != std::string::npos);
}

//! Guards against a series for each of many teams, and against a team that changes its series.
BOOST_AUTO_TEST_CASE(onlyThirtyTwoTeamsHaveSeriesOfTheirOwn)
{
    const MetricsPtr metrics = Metrics::create();
    std::set<std::string> labels;
    for (int n = 0; n < 40; ++n)
        labels.insert(metrics->teamLabel("t" + std::to_string(n)));
    BOOST_TEST(labels.size() == 33U);
    BOOST_TEST(metrics->teamLabel("t31") == "t31");
    BOOST_TEST(metrics->teamLabel("t32") == "(others)");
}

BOOST_AUTO_TEST_CASE(logLinesAreDroppedAndCountedWhenTheReaderStalls)
{
    int pipeEnds[2] = {};
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    LogBuffer buffer(pipeEnds[1]);
    const std::string line(1000, 'x');
    // The pipe accepts 64 KiB and the buffer up to maxBytes; further lines are dropped, and no call blocks.
    for (int n = 0; n < 1000; ++n)
        buffer.append(line + "\n");
    BOOST_TEST(buffer.dropped() > 0u);
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    std::string bytes(60'000, '\0');
    std::string all;
    const auto readAll = [&] {
        for (int n = 0; n < 100; ++n) {
            buffer.flush();
            const ssize_t got = read(pipeEnds[0], bytes.data(), bytes.size());
            all.append(bytes.data(), static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        }
    };
    readAll();
    buffer.append("last\n");
    readAll();
    BOOST_TEST(all.find("log-lines-dropped") != std::string::npos);
    BOOST_TEST(all.ends_with("last\n"));
}

//! Guards against a process that ends by itself without a trace of where (issue 34).
BOOST_AUTO_TEST_CASE(aCrashWritesItsSignalAndItsStack)
{
    std::array<int, 2> ends {};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    const pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        installCrashReport();
        raise(SIGSEGV);
        _exit(0);
    }
    close(ends[1]);
    std::string text;
    std::array<char, 4096> buf {};
    for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;)
        text.append(buf.data(), std::size_t(n));
    close(ends[0]);
    int status = 0;
    waitpid(child, &status, 0);
    BOOST_TEST(WIFSIGNALED(status));
    BOOST_TEST(WTERMSIG(status) == SIGSEGV);
    BOOST_TEST(text.find(R"("event":"crash","signal":11)") != std::string::npos);
    BOOST_TEST(std::count(text.begin(), text.end(), '\n') > 3);
}
