#include <base/processor_time.hpp>

#include <ctime>

namespace berylhill::base
{

duration processor_time()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(
        std::chrono::seconds{used.tv_sec} +
        std::chrono::nanoseconds{used.tv_nsec});
}

} // namespace berylhill::base
