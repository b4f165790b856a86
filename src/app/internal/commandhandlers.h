#pragma once

#include "app/internal/commandline.h"

//! The commands of the program. Each returns an exit code, or throws what `parse` throws.
namespace sardinerun::app {

int serve(const Arguments& arguments);
int dispatch(const Arguments& arguments);
int checkConfig(const Arguments& arguments);
int submit(const Arguments& arguments);
int status(const Arguments& arguments);
int cancel(const Arguments& arguments);
int wait(const Arguments& arguments);
int preset(const Arguments& arguments);
int config(const Arguments& arguments);
int nodes(const Arguments& arguments);
int workers(const Arguments& arguments);

} // namespace sardinerun::app
