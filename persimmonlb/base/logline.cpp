#include "persimmonlb/base/logline.h"

#include <array>
#include <atomic>
#include <memory>

#include <easylogging++.h>

#include "persimmonlb/base/linewriter.h"

INITIALIZE_EASYLOGGINGPP

namespace persimmonlb
{

namespace
{

std::atomic<bool> started = false;

/// Set once, before the first line, and reset after the last one.
std::unique_ptr<LineWriter> writer;

/// Hands the lines that the library has built to the writer.
class WriterDispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        const bool important
            = message->level() != el::Level::Info && message->level() != el::Level::Debug;
        if (writer) {
            writer->write(message->logger()->logBuilder()->build(message, true), important);
        }
    }
};

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warning", "error"};

bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char byte : value) {
        if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7f) {
            return true;
        }
    }
    return false;
}

std::string quote(std::string_view value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "\"";
    for (const char byte : value) {
        const auto code = static_cast<unsigned char>(byte);
        if (byte == '"' || byte == '\\') {
            text += '\\';
            text += byte;
            continue;
        }
        if (code < 0x20 || code == 0x7f) {
            text += "\\x";
            text += digits[code >> 4U];
            text += digits[code & 15U];
            continue;
        }
        text += byte;
    }
    text += '"';
    return text;
}

el::Level toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return el::Level::Debug;
    case LogLevel::Info:
        return el::Level::Info;
    case LogLevel::Warning:
        return el::Level::Warning;
    case LogLevel::Error:
        break;
    }
    return el::Level::Error;
}

} // namespace

LogLine::LogLine(LogLevel level, std::string_view event)
    : level_(level)
{
    text_ = "level=";
    text_ += levelNames[static_cast<std::size_t>(level)];
    add("event", event);
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    text_ += ' ';
    text_ += key;
    text_ += '=';
    text_ += needsQuotes(value) ? quote(value) : std::string(value);
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    return add(key, std::to_string(value));
}

const std::string &LogLine::text() const
{
    return text_;
}

void LogLine::write() const
{
    if (!started) {
        return;
    }
    el::base::Writer(toLibraryLevel(level_), __FILE__, __LINE__, __func__)
            .construct(1, el::base::consts::kDefaultLoggerId)
        << text_;
}

void startLogging(LogLevel least)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format,
                              "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    for (const LogLevel level :
         {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        const char *enabled = level < least ? "false" : "true";
        configuration.set(toLibraryLevel(level), el::ConfigurationType::Enabled, enabled);
    }
    el::Loggers::reconfigureAllLoggers(configuration);
    if (!writer) {
        writer = std::make_unique<LineWriter>(LineWriter::Options());
        el::Helpers::installLogDispatchCallback<WriterDispatch>("WriterDispatch");
    }
    started = true;
}

void stopLogging()
{
    started = false;
    writer.reset();
}

} // namespace persimmonlb
