#include "usage.hpp"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace berylhill::capacity
{

namespace
{

constexpr int s_fields_after_name_before_time = 11;
constexpr double s_bytes_per_mb = 1024.0 * 1024.0;

double processor_s_of(int process_id)
{
    std::ifstream in{"/proc/" + std::to_string(process_id) + "/stat"};
    std::string text;
    std::getline(in, text);
    // The name in brackets may hold spaces.
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    for (int n = 0; n < s_fields_after_name_before_time; ++n)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double memory_mb_of(int process_id)
{
    std::ifstream in{"/proc/" + std::to_string(process_id) + "/statm"};
    double all = 0;
    double resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) /
           s_bytes_per_mb;
}

double loopback_bytes()
{
    std::ifstream in{"/proc/net/dev"};
    std::string line;
    while (std::getline(in, line))
    {
        auto const at = line.find("lo:");
        if (at != std::string::npos)
        {
            return std::stod(line.substr(at + 3));
        }
    }
    return 0;
}

} // namespace

usage usage_of(std::vector<int> const& process_ids)
{
    usage out;
    for (auto const it : process_ids)
    {
        out.processor_s.push_back(processor_s_of(it));
        out.memory_mb.push_back(memory_mb_of(it));
    }
    out.loopback_bytes = loopback_bytes();
    return out;
}

} // namespace berylhill::capacity
