#include "cell_process.hpp"

#include "ports.hpp"

#include <fstream>

namespace berylhill::platform_test
{

namespace
{

std::filesystem::path settings_path(cell_process const& it)
{
    return it.folder / (it.name + ".json");
}

/// Empty if nothing lies between.
std::string advertised_address(cell_process const& it)
{
    return it.peers_reach_it_at == 0 ? std::string{}
                                     : text_of(local(it.peers_reach_it_at));
}

} // namespace

std::size_t own_peer_port(cell_process const& it)
{
    return it.first_port + 2;
}

void write_settings(cell_process const& it)
{
    auto const address = [&](std::size_t n)
    {
        return text_of(local(it.first_port + n));
    };
    std::ofstream{settings_path(it)}
        << R"({"instance":")" << it.name
        << R"(","zone":"a","listen":{"callers":")" << address(0)
        << R"(","readiness":")" << address(1) << R"(","peer":")" << address(2)
        << R"(","peer_advertised":")" << advertised_address(it)
        << R"(","metrics":")" << address(3) << R"("},"platform":{"store":")"
        << text_of(local(it.store_port)) << R"(","record_bytes":)"
        << it.store_limits.record_bytes << R"(,"append_bytes":)"
        << it.store_limits.call_bytes
        << R"(},"bounds":{"stop_grace_s":3,"longest_lease_ms":)"
        << it.longest_lease_ms << R"(},"limits":{"memory_mb":)"
        << it.machine.memory_mb << R"(,"descriptors":)"
        << it.machine.descriptors << "}}";
}

std::unique_ptr<process> start(cell_process const& it)
{
    write_settings(it);
    return std::make_unique<process>(
        std::vector<std::string>{it.binary, "cell", "--settings",
                                 settings_path(it).string()},
        (it.folder / (it.name + ".log")).string());
}

} // namespace berylhill::platform_test
