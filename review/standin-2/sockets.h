// Small wrappers of the socket calls. Addresses are in host byte order; failures throw.
#pragma once

#include "packet.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace review
{

int listenAt(std::uint32_t address, std::uint16_t port);
int bindDatagrams(std::uint32_t address, std::uint16_t port);
void setNonBlocking(int descriptor);
void sendAll(int descriptor, std::string_view bytes);
void sendDatagram(int descriptor, std::string_view bytes, End to);

/// Receives a datagram; returns false if there is none.
bool receiveDatagram(int descriptor, std::string &bytes, End &from);

/// Returns the status of a GET of a page, 0 without an answer.
int statusOf(End server, const std::string &path);

/// Returns a port from which on `count` ports are free at an address.
std::uint16_t freePorts(std::uint32_t address, unsigned count);

std::string format(std::uint32_t address);
std::string format(End end);

} // namespace review
