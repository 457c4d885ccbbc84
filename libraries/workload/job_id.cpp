#include <workload/job_id.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace berylhill::workload
{

namespace
{

constexpr std::size_t id_digits = 16;
constexpr int hex_base = 16;

bool lower_hex(char it)
{
    return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f');
}

} // namespace

base::result<job_id> parse_job_id(std::string_view text)
{
    if (text.size() != id_digits || !std::ranges::all_of(text, lower_hex))
    {
        return base::fail(base::failure_code::invalid,
                          "a job id must have 16 lower-case hex digits");
    }
    job_id out;
    std::from_chars(text.data(), text.data() + text.size(), out.number,
                    hex_base);
    return out;
}

std::string text_of(job_id it)
{
    std::array<char, id_digits> buf{};
    auto const end =
        std::to_chars(buf.data(), buf.data() + buf.size(), it.number, hex_base);
    auto const n = static_cast<std::size_t>(end.ptr - buf.data());
    return std::string(id_digits - n, '0') + std::string{buf.data(), n};
}

} // namespace berylhill::workload
