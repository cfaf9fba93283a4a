#include "ctl/Commands.h"

int main(int argc, char **argv)
{
    using namespace hornbeamlane::ctl;
    auto code = ExitCode::Usage;
    if (auto line = readCommandLine({argv + 1, argv + argc}, code)) {
        code = Commands(std::move(*line)).run();
    }
    return static_cast<int>(code);
}
