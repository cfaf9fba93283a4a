#pragma once

#include "hornbeamlane_network/http1/Http1Messages.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace hornbeamlane {

/** Reads one request after the other from the bytes of a connection. Trailers are bounded like a head and dropped. */
class Http1RequestReader final
{
public:
    struct Limits
    {
        std::size_t maxHeaderBytes = 16 * 1024;
        std::size_t maxBodyBytes = 4 * 1024 * 1024;
    };

    Http1RequestReader();
    ~Http1RequestReader();

    /** Prepares for the next request; what has been read of the last one is forgotten. */
    void start(const Limits &limits);

    /** Takes bytes and says how many belong to this request; those that do not have to be given again. */
    Http1Progress consume(std::string_view bytes, std::size_t &consumed);

    /** True once the headers are complete and valid. */
    bool hasHead() const;

    /** Length of the body as the headers state it; empty for one in chunks. Valid once the headers are complete. */
    std::optional<std::uint64_t> announcedBytes() const;

    /** Memory taken by what has been read of the request, in bytes. */
    std::size_t heldBytes() const;

    /** True if the caller waits for an interim answer before it sends the body. */
    bool expectsContinue() const;

    /** The request; valid after Complete. */
    Http1Request take();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

/** Reads one response after the other from the bytes of a connection and gives its body out as it arrives. */
class Http1ResponseReader final
{
public:
    enum class BodyRule {
        AsStated,
        None, ///< Answer to HEAD: the headers describe a body that is not sent.
    };

    Http1ResponseReader();
    ~Http1ResponseReader();

    /**
        Prepares for the next final response; a few interim ones (1xx) are skipped.

        A status outside 200 to 599 is malformed, and so is a 101: no request asks for another protocol.
    */
    void start(BodyRule rule);

    Http1Progress consume(std::string_view bytes, std::size_t &consumed);

    /** The connection has ended in an orderly way; Complete if that is the end of the body. */
    Http1Progress endOfInput();

    bool hasHead() const;
    const Http1ResponseHead &head() const;

    /** Body bytes since the last call. */
    std::string takeBody();

    /** True if only the end of the connection ends the body. */
    bool endsWithConnection() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
