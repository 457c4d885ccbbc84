#pragma once

#include "cell_fixture.hpp"

#include <boost/test/unit_test.hpp>

namespace berylhill::clients_test
{

/// The machines of the cell under test.
inline settings::cell_limit_settings small_machine()
{
    settings::cell_limit_settings out;
    out.memory_mb = 96;
    return out;
}

/// A cell on small machines, and what must hold of it whatever clients do.
class bounded_cell : public platform_test::cell_fixture
{
public:
    explicit bounded_cell(
        settings::cell_limit_settings const& machine = small_machine())
        : cell_fixture{machine}
        , m_machine{machine}
    {
        BOOST_REQUIRE(all_ready());
    }

    /// All processes live within their machines, and each serves a caller.
    void check_all()
    {
        for (std::size_t n = 0; n < processes; ++n)
        {
            check(n);
        }
    }

    /// The process lives within its machine, and serves an ordinary caller.
    void check(std::size_t n)
    {
        BOOST_TEST_CONTEXT("process " << n)
        {
            // By then it has read what others had sent before.
            auto const id = m_next_id++;
            BOOST_TEST(run_until([&] { return submit(n, id) == 200U; }));
            BOOST_TEST(run_until([&] { return completed(n, id); }));
            check_machine(n);
        }
    }

    /// The process lives within its machine.
    void check_machine(std::size_t n)
    {
        constexpr std::size_t bytes_per_mb = 1'048'576;
        BOOST_TEST(!cells[n]->ended());
        BOOST_TEST(cells[n]->peak_memory() / bytes_per_mb <=
                   static_cast<std::size_t>(m_machine.memory_mb));
        BOOST_TEST(cells[n]->descriptors() <=
                   static_cast<std::size_t>(m_machine.descriptors));
    }

    /// Starts all processes anew, on other machines.
    void move_to(settings::cell_limit_settings const& machine)
    {
        m_machine = machine;
        set_machine(machine);
        for (std::size_t n = 0; n < processes; ++n)
        {
            stop_process(n);
        }
        for (std::size_t n = 0; n < processes; ++n)
        {
            start_process(n);
        }
        BOOST_REQUIRE(all_ready());
    }

private:
    settings::cell_limit_settings m_machine;
    std::uint64_t m_next_id{0xFFFF'0000};
};

} // namespace berylhill::clients_test
