// Entry point of every test program. CppUTest's leak detection is turned off: it replaces operator new, which
// conflicts with threads and with libraries that allocate static caches. The address sanitizer build finds
// leaks.

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
