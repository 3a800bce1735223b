// Writes connection records in sequence.
#pragma once

#include "jasminequay/Record/connectionrecord.h"
#include "jasminequay/Support/failure.h"

#include <fstream>
#include <string>
#include <vector>

namespace jasminequay
{

/// Appends records of one incarnation of an instance to a file; /dev/stdout is a file too.
class RecordWriter
{
public:
    RecordWriter(std::string instance, std::uint64_t incarnation);

    /// Opens the file for appending and writes the start record. With an empty path records are counted but
    /// not kept.
    Result<void> open(const std::string &path, std::int64_t at);

    /// Writes the records of flows.
    Result<void> write(const std::vector<FlowRecord> &records, std::int64_t at);

    /// Writes the stop record.
    Result<void> close(std::int64_t at);

    /// Returns the number of the last record.
    [[nodiscard]] std::uint64_t sequence() const
    {
        return m_sequence;
    }

private:
    void append(RecordKind kind, const FlowRecord &flow, std::int64_t at);
    Result<void> flush();

    std::string m_path;
    std::string m_instance;
    std::uint64_t m_incarnation;
    std::uint64_t m_sequence = 0;
    std::ofstream m_file;
};

} // namespace jasminequay
