#include "laburnumledge/operators/command_line.hpp"

int main(int argc, char** argv) { return laburnumledge::operators::RunCommandLine(argc, argv); }
