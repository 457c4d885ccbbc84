#include <base/time.hpp>

#include <ctime>

namespace berylhill::base
{

namespace
{

std::int64_t read_us(clockid_t id)
{
    timespec now{};
    clock_gettime(id, &now);
    return std::int64_t{now.tv_sec} * 1'000'000 + now.tv_nsec / 1'000;
}

} // namespace

instant system_clock::now() const
{
    return instant{duration{read_us(CLOCK_BOOTTIME)}};
}

std::int64_t system_clock::wall_us() const
{
    return read_us(CLOCK_REALTIME);
}

} // namespace berylhill::base
