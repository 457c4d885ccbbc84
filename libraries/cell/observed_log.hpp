#pragma once

#include <base/time.hpp>
#include <cell/keyed_log.hpp>
#include <cell/store_contact.hpp>

#include <memory>
#include <string>
#include <vector>

namespace berylhill::cell
{

/// A log whose calls show whether the store serves this process. Lives on the
/// event loop.
class observed_log final : public keyed_log
{
public:
    /// `clock` and `contact` must outlive this object and its calls.
    observed_log(std::unique_ptr<keyed_log> log,
                 base::clock const& clock,
                 store_contact& contact);

    void append(std::uint64_t at,
                std::vector<scheduler::record> const& records,
                base::duration timeout,
                append_handler handler) override;

    network::call_handle read(read_request const& it,
                              read_handler handler) override;

    void read_newest(std::string const& after,
                     network::call_patience const& patience,
                     newest_handler handler) override;

private:
    std::unique_ptr<keyed_log> m_log;
    base::clock const& m_clock;
    store_contact& m_contact;
};

} // namespace berylhill::cell
