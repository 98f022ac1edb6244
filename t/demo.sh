#!/bin/bash
echo "demo: to be written"
