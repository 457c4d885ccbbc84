#pragma once

#include <platform/endpoint_list.hpp>
#include <platform/http_pool.hpp>

#include <memory>
#include <string>

namespace berylhill::platform
{

/// The platform's list over HTTP; see docs/PLATFORM.md. Thread-safe.
class http_endpoint_list final : public endpoint_list
{
public:
    /// Precondition: `address` is `IP:port`, `pool` is not null.
    http_endpoint_list(std::shared_ptr<http_pool> pool,
                       std::string address,
                       base::duration timeout);

    [[nodiscard]] base::result<std::vector<model::endpoint>> fetch() override;

    /// Registers an instance of ours, or says that it still lives; to be
    /// repeated every second. Fails with `unavailable`.
    [[nodiscard]] base::result<base::done> put(model::endpoint const& it);

    /// Marks it as leaving. Fails with `unavailable`.
    [[nodiscard]] base::result<base::done> leave(std::string const& id);

    /// Takes it off the list. Fails with `unavailable`.
    [[nodiscard]] base::result<base::done> remove(std::string const& id);

private:
    base::result<base::done> expect_done(http_request const& request);

    std::shared_ptr<http_pool> m_pool;
    std::string m_address;
    base::duration m_timeout;
};

} // namespace berylhill::platform
