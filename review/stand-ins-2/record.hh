// The record of a case: one line for each thing that a client, a server, the store or the operator saw.
#pragma once

#include "loop.hh"

#include <cstdarg>

namespace review {

class Record
{
public:
    explicit Record(const char *file)
        : file_(std::fopen(file, "w"))
        , start_(nowMs())
    {
        if (file_ == nullptr) {
            std::fprintf(stderr, "cannot write %s\n", file);
            std::exit(2);
        }
    }

    ~Record()
    {
        std::fclose(file_);
    }

    /** Seconds since the start of the record. */
    double seconds() const
    {
        return (nowMs() - start_) / 1000.0;
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        std::fprintf(file_, "%9.4f ", seconds());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
    }

    /** The same on standard output too. */
    __attribute__((format(printf, 2, 3))) void say(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        line("%s", text);
        std::printf("%s\n", text);
        std::fflush(stdout);
    }

private:
    std::FILE *file_;
    double start_;
};

} // namespace review
