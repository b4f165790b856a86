#include "telemetry/crashreport.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <execinfo.h>
#include <ucontext.h>
#include <unistd.h>

namespace sardinerun::telemetry {

namespace {

constexpr std::array signals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };
constexpr int maxFrames = 48;
constexpr std::size_t alternateStackBytes = std::size_t(64) << 10;

struct Registers {
    void* instruction = nullptr;
    void* returnAddress = nullptr; //!< null on machines that keep it on the stack only
};

// NOLINTBEGIN(performance-no-int-to-ptr): the context has addresses as numbers
Registers registersOf(const void* context)
{
    const mcontext_t& it = static_cast<const ucontext_t*>(context)->uc_mcontext;
#if defined(__aarch64__)
    return { reinterpret_cast<void*>(it.pc), reinterpret_cast<void*>(it.regs[30]) };
#elif defined(__x86_64__)
    return { reinterpret_cast<void*>(it.gregs[REG_RIP]), nullptr };
#else
    return {};
#endif
}
// NOLINTEND(performance-no-int-to-ptr)

//! Uses only what is allowed in a signal handler. The stack comes last, as reading a broken one may crash again.
void report(int signal, siginfo_t* info, void* context)
{
    const Registers registers = registersOf(context);
    std::array<char, 160> line {};
    const int n = std::snprintf(line.data(), line.size(),
        "{\"event\":\"crash\",\"signal\":%d,\"address\":\"%p\",\"instruction\":\"%p\",\"returnAddress\":\"%p\"}\n",
        signal, info->si_addr, registers.instruction, registers.returnAddress);
    [[maybe_unused]] const ssize_t written = write(STDERR_FILENO, line.data(), static_cast<std::size_t>(n));
    std::array<void*, maxFrames> frames { registers.instruction, registers.returnAddress };
    backtrace_symbols_fd(frames.data(), 2, STDERR_FILENO);
    const int count = backtrace(frames.data(), maxFrames);
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    raise(signal); // the action has been reset
}

} // namespace

void installCrashReport()
{
    std::array<void*, 1> frame {};
    backtrace(frame.data(), 1); // loads its library, which must not happen in the handler
    static std::array<char, alternateStackBytes> stack;
    stack_t alternate {};
    alternate.ss_sp = stack.data();
    alternate.ss_size = stack.size();
    sigaltstack(&alternate, nullptr);
    struct sigaction action { };
    action.sa_sigaction = report;
    action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND | SA_NODEFER;
    for (const int it : signals)
        sigaction(it, &action, nullptr);
}

} // namespace sardinerun::telemetry
