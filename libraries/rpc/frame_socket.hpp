#pragma once

#include <base/result.hpp>
#include <base/time.hpp>
#include <rpc/frame_budget.hpp>

#include <cstddef>
#include <string>

namespace berylhill::rpc
{

/// A frame longer than this is a mistake of the sender.
constexpr std::size_t longest_frame = std::size_t{8} << 20U;

/// A TCP connection that carries frames: four bytes of length in network
/// order, then as many bytes. Every operation has a deadline, because a
/// connection can go silent for good without an error. Not thread-safe, but
/// for `shut_down`.
class frame_socket
{
public:
    /// Takes over an open descriptor.
    explicit frame_socket(int descriptor);
    ~frame_socket();
    frame_socket(frame_socket&& other) noexcept;
    frame_socket& operator=(frame_socket&& other) noexcept;
    frame_socket(frame_socket const&) = delete;
    frame_socket& operator=(frame_socket const&) = delete;

    /// Connects to `IP:port`. Fails with `unavailable` or `invalid`.
    [[nodiscard]] static base::result<frame_socket>
    connect(std::string const& address, base::duration timeout);

    /// Fails with `outcome_unknown`: some of the frame may have left.
    [[nodiscard]] base::result<base::done> write(std::string const& frame,
                                                 base::duration timeout);

    /// Fails with `outcome_unknown` when no whole frame came in time, and with
    /// `invalid` when it is longer than `longest_frame`.
    [[nodiscard]] base::result<std::string> read(base::duration timeout);

    /// Reads a frame from an untrusted sender: it has to begin within `idle`
    /// and to be complete within `limit` of its first bytes. Memory is
    /// allocated only as bytes arrive. Fails as `read` does, and with `refused`
    /// where `share` has no room.
    [[nodiscard]] base::result<std::string>
    read_request(base::duration idle, base::duration limit, frame_share& share);

    /// Whether the peer has closed the connection or sent unexpected data; such
    /// a connection must not carry a request.
    [[nodiscard]] bool spoiled() const;

    /// Ends a `read` that is waiting in another thread. Thread-safe.
    void shut_down() const;

private:
    [[nodiscard]] base::result<std::size_t>
    read_size(base::instant first_byte_by, base::duration limit) const;
    [[nodiscard]] base::result<base::done>
    read_bytes(char* into, std::size_t size, base::instant until) const;

    int m_descriptor;
};

/// Listens at `IP:port`, port 0 for any; returns the descriptor. Fails with
/// `unavailable` or `invalid`.
[[nodiscard]] base::result<int> listen_at(std::string const& address);

/// The `IP:port` that a listening descriptor is bound to.
[[nodiscard]] std::string bound_address(int descriptor);

} // namespace berylhill::rpc
