#include <scenario/random_script.hpp>

#include <array>
#include <random>

namespace berylhill::scenario
{

namespace
{

constexpr int s_entries = 3;
constexpr int s_workers = 8;
constexpr int s_minions = 4;
constexpr int s_least_faults = 3;
constexpr int s_most_faults = 7;

constexpr char const* s_opening = R"(entries 3
workers 8 cores 8 memory 16384 racks 2 zone sapporo-a
minions 4 service report-svc
contract contracts/kitakaze.json
expect in-force within 8s
calls 200 service report-svc rate 20 contract kitakaze idempotent
calls 60 service report-svc rate 6 contract kitakaze once
jobs 12 tag daily contract kitakaze kind batch tasks 6 cores 1 memory 512 run 800ms idempotent normal
jobs 4 tag forecast contract kitakaze kind batch tasks 2 cores 1 memory 512 run 500ms once normal
jobs 2 tag reissue contract kitakaze kind gang tasks 8 cores 2 memory 512 run 1s idempotent urgent
)";

constexpr char const* s_closing = R"(log up
list thaw
expect entries ready 3 within 20s
expect jobs succeeded 14 within 60s
expect promises
)";

class composer
{
public:
    explicit composer(std::uint64_t seed)
        : m_random{seed}
    {
    }

    std::string compose()
    {
        std::string text = s_opening;
        auto const count = between(s_least_faults, s_most_faults);
        for (int n = 0; n < count; ++n)
        {
            text += wait() + fault();
        }
        return text + wait() + m_healing + s_closing;
    }

private:
    int between(int least, int most)
    {
        return std::uniform_int_distribution<>{least, most}(m_random);
    }

    std::string wait()
    {
        return "wait " + std::to_string(between(100, 1'500)) + "ms\n";
    }

    std::string fault()
    {
        switch (between(0, 3))
        {
        case 0:
            return entry_fault();
        case 1:
            return log_fault();
        case 2:
            return worker_fault();
        default:
            return minion_fault();
        }
    }

    std::string entry_fault()
    {
        auto const entry = "entry " + std::to_string(between(1, s_entries));
        switch (between(0, 2))
        {
        case 0:
            return "kill " + entry + "\n" + wait() + "start " + entry + "\n";
        case 1:
            return "freeze " + entry + "\n" + wait() + wait() + "thaw " +
                   entry + "\n";
        default:
            return "stop " + entry + "\nstart " + entry + "\n";
        }
    }

    std::string log_fault()
    {
        constexpr std::array faults{"log down\n", "log slow 200ms\n",
                                    "log lose 20% after\n",
                                    "log lose 20% before\n", "list freeze\n"};
        auto const it = faults.at(static_cast<std::size_t>(
            between(0, static_cast<int>(faults.size()) - 1)));
        return it + wait() + "log up\nlist thaw\n";
    }

    std::string worker_fault()
    {
        constexpr std::array faults{"cut in", "cut out", "frozen", "fail",
                                    "restart"};
        return endpoint_fault("worker w-", between(1, s_workers),
                              faults.at(static_cast<std::size_t>(between(
                                  0, static_cast<int>(faults.size()) - 1))));
    }

    std::string minion_fault()
    {
        constexpr std::array faults{"silent", "crossed", "truncated", "refuse",
                                    "slow 300ms"};
        return endpoint_fault("minion m-", between(1, s_minions),
                              faults.at(static_cast<std::size_t>(between(
                                  0, static_cast<int>(faults.size()) - 1))));
    }

    std::string
    endpoint_fault(std::string const& prefix, int number, std::string const& it)
    {
        auto const subject = prefix + std::to_string(number);
        m_healing += subject + " heal\n";
        return subject + " " + it + "\n";
    }

    std::mt19937_64 m_random;
    std::string m_healing;
};

} // namespace

std::string random_script(std::uint64_t seed)
{
    return composer{seed}.compose();
}

} // namespace berylhill::scenario
