// Compiles easylogging++'s implementation, which Debian ships as a source file.
#include <easylogging++.cc>
