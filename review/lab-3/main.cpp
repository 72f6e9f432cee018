// Runs a case by its name, writes its record, and returns its exit code.

#include "cases.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace lab
{

void sleep_until(const record& log, std::int64_t milliseconds)
{
    const std::int64_t left = milliseconds - log.now();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(left));
    }
}

std::int64_t environment_number(const char* name, std::int64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::atoll(text);
}

} // namespace lab

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: lab CASE RECORD\n";
        return lab::exit_not_run;
    }
    const std::string name = argv[1];
    lab::record log(argv[2]);
    const bool has_trouble = lab::environment_number("TROUBLE", 1) != 0;
    std::string folder = (std::filesystem::temp_directory_path() / "lab-XXXXXX").string();
    if (mkdtemp(folder.data()) == nullptr) {
        return lab::exit_not_run;
    }
    int result = lab::exit_not_run;
    try {
        if (name == "silent-channels") {
            result = lab::silent_channels(log, folder, has_trouble);
        }
    } catch (const std::exception& error) {
        log.line(std::string("the case could not run: ") + error.what());
    }
    log.line("exit " + std::to_string(result));
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cerr << folder << "\n";
    }
    return result;
}
