// Addresses, time and the record of a run, shared by the stand-ins.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>

namespace review
{

/// An IPv4 address with a port, both in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

inline sockaddr_in toSocketAddress(Address address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.ip);
    return result;
}

inline std::string ipText(std::uint32_t ip)
{
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "."
        + std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline std::string text(Address address)
{
    return ipText(address.ip) + ":" + std::to_string(address.port);
}

/// Returns the seconds since the first call.
inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

/// Writes lines with their time to record.txt. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
    {
    }
    ~Record()
    {
        if (m_file != nullptr) {
            std::fclose(m_file);
        }
    }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    [[nodiscard]] bool isOpen() const
    {
        return m_file != nullptr;
    }

    void line(const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        std::fprintf(m_file, "%9.3f %s\n", now(), what.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
};

} // namespace review
