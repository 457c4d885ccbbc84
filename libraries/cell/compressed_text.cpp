#include <cell/compressed_text.hpp>

#include <zlib.h>

#include <algorithm>

namespace berylhill::cell
{

namespace
{

/// Growth step of the output buffer.
constexpr std::size_t chunk_size = std::size_t{64} * 1024;

Bytef const* bytes_of(std::string_view it)
{
    return reinterpret_cast<Bytef const*>(it.data());
}

base::failure unreadable(char const* why)
{
    return {base::failure_code::invalid, std::string{"compressed text: "} + why,
            0};
}

} // namespace

std::string compressed(std::string_view text)
{
    auto size = ::compressBound(static_cast<uLong>(text.size()));
    std::string out(size, '\0');
    auto const end =
        ::compress2(reinterpret_cast<Bytef*>(out.data()), &size, bytes_of(text),
                    static_cast<uLong>(text.size()), Z_BEST_SPEED);
    // Fails only if the buffer is smaller than its bound.
    out.resize(end == Z_OK ? size : 0);
    return out;
}

base::result<std::string> decompressed(std::string_view it,
                                       std::size_t max_bytes)
{
    z_stream stream{};
    if (::inflateInit(&stream) != Z_OK)
    {
        return base::fail(unreadable("out of memory"));
    }
    stream.next_in = const_cast<Bytef*>(bytes_of(it));
    stream.avail_in = static_cast<uInt>(it.size());
    std::string out;
    auto end = Z_OK;
    while (end == Z_OK && out.size() <= max_bytes)
    {
        auto const before = out.size();
        auto const room = std::min(chunk_size, max_bytes + 1 - before);
        out.resize(before + room);
        stream.next_out = reinterpret_cast<Bytef*>(out.data() + before);
        stream.avail_out = static_cast<uInt>(room);
        end = ::inflate(&stream, Z_NO_FLUSH);
        out.resize(before + room - stream.avail_out);
    }
    ::inflateEnd(&stream);
    if (out.size() > max_bytes)
    {
        return base::fail(unreadable("too large"));
    }
    if (end != Z_STREAM_END)
    {
        return base::fail(unreadable("truncated or corrupt"));
    }
    return out;
}

} // namespace berylhill::cell
